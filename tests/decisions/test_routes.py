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
    def find(self, route_table, path, method="GET", host="x.example"):
        match = route_table.find(host, path, method)
        return match and match.service

    def test_the_longest_prefix_of_whole_segments_wins(self):
        route_table = table(all=[route("/")], slots=[route("/slots/")])
        self.assertEqual("slots", self.find(route_table, "/slots"))
        self.assertEqual("slots", self.find(route_table, "/slots/1/2"))
        self.assertEqual("all", self.find(route_table, "/slotsish"))
        self.assertEqual("all", self.find(route_table, "/"))

    def test_a_matching_host_takes_precedence_over_a_longer_prefix(self):
        route_table = table(
            own=[route("/", host="X.example")], any=[route("/slots")]
        )
        self.assertEqual("own", self.find(route_table, "/slots"))
        self.assertEqual(
            "own", self.find(route_table, "/slots", host="x.EXAMPLE.:8080")
        )
        self.assertEqual("any", self.find(route_table, "/slots", host="y"))

    def test_a_matching_method_takes_precedence_over_any_method(self):
        route_table = table(
            read=[route("/slots", "get")],
            write=[route("/slots")],
            rest=[route("/")],
            hold=[route("/holds", "PUT")],
        )
        self.assertEqual("read", self.find(route_table, "/slots"))
        self.assertEqual("write", self.find(route_table, "/slots", "POST"))
        self.assertEqual("rest", self.find(route_table, "/holds"))

    def test_requests_without_a_route_have_no_match(self):
        route_table = table(slots=[route("/slots")])
        self.assertIsNone(self.find(route_table, "/bookings"))
        self.assertIsNone(self.find(table(), "/"))

    def test_hosts_are_normalized(self):
        self.assertEqual("[::1]", routes.normalize_host("[::1]:80"))
        self.assertEqual("a.b", routes.normalize_host("A.b.:80"))

    def test_ambiguous_routes_are_found(self):
        ambiguities = routes.find_ambiguities(
            services(
                one=[route("/slots", "GET")],
                two=[route("/slots/", "get"), route("/slots")],
            ).values()
        )
        key = routes.Key("", "/slots", "GET")
        self.assertEqual((routes.Ambiguity(key, ("one", "two")),), ambiguities)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.sampled_from("abc"), max_size=4),
            max_size=8,
        ),
        strategies.lists(strategies.sampled_from("abcd"), max_size=7),
    )
    def test_a_lookup_agrees_with_a_search_of_all_routes(
        self, prefixes, segments
    ):
        listed = {tuple(prefix) for prefix in prefixes}
        route_table = table(
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
        self.assertEqual(expected, self.find(route_table, path))
