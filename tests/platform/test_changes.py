import testtools
import trio

from tests.builders import users_platform as builders


async def status_of(built, target):
    response = await builders.call(built, target, f"r-{target}")
    return response.status


class ChangesTest(testtools.TestCase):
    def test_a_leaving_instance_gets_no_new_request(self):
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

    def test_new_routes_come_in_force_and_old_ones_go(self):
        async def check(built):
            self.assertEqual(404, await status_of(built, "/added/x"))
            built.store.put_json(
                "op/config",
                builders.configuration(
                    9, routes=[builders.route("/added/", "idempotent")]
                ),
            )
            await trio.sleep(0.5)
            self.assertEqual(200, await status_of(built, "/added/x"))
            self.assertEqual(404, await status_of(built, builders.READ_PATH))

        builders.run(check)

    def test_an_invalid_or_older_configuration_changes_nothing(self):
        async def check(built):
            bad = builders.route("/bad", "idempotent")
            built.store.put_json(
                "op/config", builders.configuration(9, routes=[bad])
            )
            await trio.sleep(0.4)
            self.assertEqual(200, await status_of(built, builders.READ_PATH))
            built.store.put_json(
                "op/config", builders.configuration(2, routes=[])
            )
            await trio.sleep(0.4)
            self.assertEqual(200, await status_of(built, builders.READ_PATH))

        builders.run(check)

    def test_requests_are_served_while_the_store_is_away(self):
        async def check(built):
            built.store.faults = built.store.faults._replace(status=503)
            await trio.sleep(2.0)
            self.assertEqual(200, await status_of(built, builders.READ_PATH))

        builders.run(check)

    def test_without_any_instance_a_request_is_refused_at_once(self):
        async def check(built):
            for each in built.instances:
                built.store.delete(f"servers/{each.id}")
            await trio.sleep(0.5)
            started = trio.current_time()
            response = await builders.call(built, builders.READ_PATH)
            self.assertEqual(503, response.status)
            self.assertLess(trio.current_time() - started, 0.5)

        builders.run(check)
