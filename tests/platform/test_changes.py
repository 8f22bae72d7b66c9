import testtools
import trio

from tests.builders import users_platform as builders


async def get_status(built, target):
    response = await builders.call(built, target, f"r-{target}")
    return response.status


class ChangesTest(testtools.TestCase):
    def test_draining_instance_gets_no_new_requests(self):
        async def check(built):
            leaving, staying = built.instances
            address = "127.0.0.1:1"
            built.store.put_json(
                f"servers/{leaving.id}",
                builders.entry(address, state="draining"),
            )
            await trio.sleep(0.5)
            for number in range(6):
                response = await builders.call(
                    built, builders.READ_PATH, f"r{number}"
                )
                self.assertEqual(200, response.status)
            self.assertEqual([], leaving.runs)
            self.assertEqual(6, len(staying.runs))

        builders.run(check)

    def test_new_configuration_replaces_the_routes(self):
        async def check(built):
            self.assertEqual(404, await get_status(built, "/added/x"))
            built.store.put_json(
                "op/config",
                builders.configuration(
                    9, routes=[builders.route("/added/", "idempotent")]
                ),
            )
            await trio.sleep(0.5)
            self.assertEqual(200, await get_status(built, "/added/x"))
            self.assertEqual(404, await get_status(built, builders.READ_PATH))

        builders.run(check)

    def test_invalid_or_older_configuration_is_ignored(self):
        async def check(built):
            bad = builders.route("/bad", "idempotent")
            built.store.put_json(
                "op/config", builders.configuration(9, routes=[bad])
            )
            await trio.sleep(0.4)
            self.assertEqual(200, await get_status(built, builders.READ_PATH))
            built.store.put_json(
                "op/config", builders.configuration(2, routes=[])
            )
            await trio.sleep(0.4)
            self.assertEqual(200, await get_status(built, builders.READ_PATH))

        builders.run(check)

    def test_requests_are_served_while_the_store_fails(self):
        async def check(built):
            built.store.faults = built.store.faults._replace(status=503)
            await trio.sleep(2.0)
            self.assertEqual(200, await get_status(built, builders.READ_PATH))

        builders.run(check)

    def test_request_without_any_instance_is_refused_immediately(self):
        async def check(built):
            for each in built.instances:
                built.store.delete(f"servers/{each.id}")
            await trio.sleep(0.5)
            started = trio.current_time()
            response = await builders.call(built, builders.READ_PATH)
            self.assertEqual(503, response.status)
            self.assertLess(trio.current_time() - started, 0.5)

        builders.run(check)
