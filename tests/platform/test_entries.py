import msgspec
import testtools

from primrosemill.configuration import document as documents
from primrosemill.platform import entries
from tests.builders import users_platform as builders

KEY = "servers/i-1"


def decode(key, value):
    return entries.decode(key, 7, msgspec.json.encode(value))


class InstanceTest(testtools.TestCase):
    def test_an_entry_names_an_instance(self):
        item = decode(KEY, builders.entry(warmup_left_ms=1500)).ok
        self.assertEqual(builders.SERVICE, item.discovered.service)
        self.assertEqual(
            documents.Instance(
                "i-1",
                "10.128.0.9",
                8080,
                builders.DOMAIN,
                documents.SERVING,
                3,
                1_000,
                1.5,
            ),
            item.discovered.instance,
        )

    def test_a_draining_instance_is_leaving(self):
        item = decode(KEY, builders.entry(state="draining")).ok
        self.assertTrue(item.discovered.instance.leaving)

    def test_an_entry_need_not_tell_its_start(self):
        entry = builders.entry()
        del entry["born"]
        self.assertEqual(0, decode(KEY, entry).ok.discovered.instance.boot)

    def test_damaged_entries_name_no_instance(self):
        whole = builders.entry()
        damaged = [
            {key: value for key, value in whole.items() if key != left_out}
            for left_out in whole
            if left_out != "born"
        ]
        damaged += [
            whole | changes
            for changes in (
                {"slots": "3"},
                {"slots": 0},
                {"slots": True},
                {"state": "sleeping"},
                {"address": "host:80"},
                {"address": "10.0.0.1"},
                {"zone": None},
                {"warmup_left_ms": -1},
                {"sequence": "4"},
                {"born": 1.5},
                {"service": 7},
            )
        ]
        for entry in damaged:
            result = decode(KEY, entry)
            self.assertTrue(result.is_error(), entry)
            self.assertEqual((KEY, 7), result.error[:2])

    def test_bytes_that_are_no_json_name_no_instance(self):
        for value in (b"", b"\xff\xfe", b"[", b"[" * 5_000, b'{"service":'):
            self.assertTrue(entries.decode(KEY, 7, value).is_error(), value)

    def test_new_fields_are_ignored(self):
        self.assertTrue(decode(KEY, builders.entry(rack="r7")).is_ok())

    def test_other_keys_say_nothing(self):
        item = decode("op/other", {"service": 1}).ok
        self.assertTrue(item.removed)


class RoutingTest(testtools.TestCase):
    def test_a_configuration_becomes_routes(self):
        routing = decode("op/config", builders.configuration(7)).ok.routing
        self.assertEqual(7, routing.version)
        read, once, upload = routing.routes
        self.assertTrue(read.idempotent)
        self.assertFalse(once.idempotent)
        self.assertFalse(upload.idempotent)
        self.assertTrue(upload.large_bodies)
        self.assertEqual(
            (2.0, 0.6, 1, 2),
            (
                read.deadline,
                read.target,
                read.priority,
                read.most_instances,
            ),
        )
        self.assertEqual(1_000_000, routing.bounds.max_body_size)
        self.assertEqual(15.0, routing.bounds.idle_timeout)

    def test_a_split_keeps_its_weights(self):
        parts = [
            {"service": "reservations", "weight": 90},
            {"service": "compliance", "weight": 10},
            {"service": "compliance", "weight": 0},
        ]
        route = builders.route("/a/", "idempotent", traffic_split=parts)
        del route["service"]
        value = builders.configuration(
            routes=[route],
            services=[builders.service(), builders.service("compliance")],
        )
        shares = decode("op/config", value).ok.routing.routes[0].shares
        self.assertEqual(
            (
                documents.Share("reservations", 90.0),
                documents.Share("compliance", 10.0),
            ),
            shares,
        )

    def test_what_is_not_valid_is_refused_whole(self):
        route = builders.route("/a/", "idempotent")
        without_service = dict(route)
        del without_service["service"]
        bad_routes = (
            route | {"prefix": "/a"},
            route | {"prefix": "a/"},
            route | {"route_type": "odd"},
            route | {"timeout_ms": 0},
            route | {"max_attempts": 0},
            route | {"priority": -1},
            route | {"service": "unknown"},
            without_service,
            without_service | {"traffic_split": []},
        )
        for bad in bad_routes:
            value = builders.configuration(routes=[route, bad])
            self.assertTrue(decode("op/config", value).is_error(), bad)
        for left_out in ("version", "routes", "services", "limits"):
            value = builders.configuration()
            del value[left_out]
            self.assertTrue(decode("op/config", value).is_error(), left_out)
