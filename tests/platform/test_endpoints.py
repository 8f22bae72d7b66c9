import msgspec
import testtools
import trio

from primrosemill.platform import endpoints
from primrosemill.proxy import adapters
from tests.builders import answers
from tests.builders import users_platform as builders


class DirectionsTest(testtools.TestCase):
    def ask(self, path, query, directions):
        asked = []

        def direct(question):
            asked.append(question)
            return directions

        reply = endpoints.answer_directions(path, query, direct)
        return reply, asked

    def test_addresses_and_their_lifetime_are_told(self):
        reply, asked = self.ask(
            "/-/resolve",
            b"name=a.example&region=r&zone=hay-riad",
            adapters.Directions(("10.1.0.35:8144",), 1.0),
        )
        self.assertEqual([adapters.Question("a.example", "hay-riad")], asked)
        self.assertEqual(200, reply.status)
        self.assertEqual(
            {"addresses": ["10.1.0.35:8144"], "ttl_s": 1.0},
            msgspec.json.decode(reply.body),
        )

    def test_who_knows_no_vm_says_so(self):
        reply, _ = self.ask("/-/resolve", b"", None)
        self.assertEqual(503, reply.status)

    def test_other_paths_are_not_found(self):
        reply, asked = self.ask("/-/other", b"", None)
        self.assertEqual((404, []), (reply.status, asked))

    def test_at_most_64_addresses_are_named(self):
        many = tuple(f"10.0.0.1:{port}" for port in range(1, 90))
        reply, _ = self.ask("/-/resolve", b"", adapters.Directions(many, 1.0))
        self.assertEqual(64, len(msgspec.json.decode(reply.body)["addresses"]))


class ServedTest(testtools.TestCase):
    def test_a_vm_directs_callers_to_itself_and_leaves_when_it_stops(self):
        async def main():
            with trio.fail_after(30):
                async with builders.running() as built:
                    settings = built.settings
                    target = "/-/resolve?name=x&zone=ain-sebaa"
                    found = await builders.get(
                        settings.directory_address, target
                    )
                    self.assertEqual(
                        [settings.caller_address],
                        msgspec.json.decode(found.content)["addresses"],
                    )
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(built.vm.stop, "SIGTERM")
                        await trio.sleep(0.1)
                        ready = await builders.get(
                            settings.ready_address, "/-/readiness"
                        )
                        self.assertEqual(503, ready.status)
                        # Who holds an old answer is served.
                        served = await builders.call(built, builders.READ_PATH)
                        self.assertEqual(200, served.status)
                        self.assertEqual(
                            "close", answers.header(served, "connection")
                        )
                        nursery.cancel_scope.cancel()

        trio.run(main)
