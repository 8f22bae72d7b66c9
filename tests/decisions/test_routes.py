import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import routes
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None
)


def route(prefix, *methods, host=""):
    return documents.Route(host, prefix, methods, True, 10.0)


def services(**routes_by_name):
    return {
        name: builders.service(1, name=name, routes=tuple(listed))
        for name, listed in routes_by_name.items()
    }


def table(**routes_by_name):
    document = documents.empty_document("atlas")
    return routes.RouteTable(
        document._replace(services_by_name=services(**routes_by_name))
    )


class RoutesTest(testtools.TestCase):
    def find(self, built, path, method="GET", host="x.example"):
        match = built.find(host, path, method)
        return match and match.service

    def test_longest_prefix_wins_by_whole_segments(self):
        built = table(all=[route("/")], slots=[route("/slots/")])
        self.assertEqual("slots", self.find(built, "/slots"))
        self.assertEqual("slots", self.find(built, "/slots/1/2"))
        self.assertEqual("all", self.find(built, "/slotsish"))
        self.assertEqual("all", self.find(built, "/"))

    def test_own_host_goes_before_a_longer_prefix(self):
        built = table(
            own=[route("/", host="X.example")], any=[route("/slots")]
        )
        self.assertEqual("own", self.find(built, "/slots"))
        self.assertEqual(
            "own", self.find(built, "/slots", host="x.EXAMPLE.:8080")
        )
        self.assertEqual("any", self.find(built, "/slots", host="y"))

    def test_a_method_goes_before_any_and_else_a_shorter_prefix(self):
        built = table(
            read=[route("/slots", "get")],
            write=[route("/slots")],
            rest=[route("/")],
            hold=[route("/holds", "PUT")],
        )
        self.assertEqual("read", self.find(built, "/slots"))
        self.assertEqual("write", self.find(built, "/slots", "POST"))
        self.assertEqual("rest", self.find(built, "/holds"))

    def test_no_route(self):
        built = table(slots=[route("/slots")])
        self.assertIsNone(self.find(built, "/bookings"))
        self.assertIsNone(self.find(table(), "/"))

    def test_host_forms(self):
        self.assertEqual("[::1]", routes.normalize_host("[::1]:80"))
        self.assertEqual("a.b", routes.normalize_host("A.b.:80"))

    def test_ambiguous_routes_are_found(self):
        found = routes.find_ambiguities(
            services(
                one=[route("/slots", "GET")],
                two=[route("/slots/", "get"), route("/slots")],
            ).values()
        )
        key = routes.Key("", "/slots", "GET")
        self.assertEqual((routes.Ambiguity(key, ("one", "two")),), found)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.sampled_from("abc"), max_size=4),
            max_size=8,
        ),
        strategies.lists(strategies.sampled_from("abcd"), max_size=7),
    )
    def test_agrees_with_a_search_of_all_routes(self, prefixes, segments):
        listed = {tuple(prefix) for prefix in prefixes}
        built = table(
            **{
                "-".join(each): [route("/" + "/".join(each))]
                for each in listed
            }
        )
        matching = [
            each for each in listed if tuple(segments[: len(each)]) == each
        ]
        expected = "-".join(max(matching, key=len)) if matching else None
        path = "/" + "/".join(segments)
        self.assertEqual(expected, self.find(built, path))
