import msgspec
import testtools
import trio

from primrosemill.platform import endpoints
from primrosemill.proxy import adapters
from tests.builders import answers
from tests.builders import users_platform as builders


class DirectionsTest(testtools.TestCase):
    def ask(self, path, query, directions):
        questions = []

        def find_directions(question):
            questions.append(question)
            return directions

        reply = endpoints.answer_directions(path, query, find_directions)
        return reply, questions

    def test_answer_contains_addresses_and_their_lifetime(self):
        reply, questions = self.ask(
            "/-/resolve",
            b"name=a.example&region=r&zone=hay-riad",
            adapters.Directions(("10.1.0.35:8144",), 1.0),
        )
        self.assertEqual(
            [adapters.DirectionsQuery("a.example", "hay-riad")], questions
        )
        self.assertEqual(200, reply.status)
        self.assertEqual(
            {"addresses": ["10.1.0.35:8144"], "ttl_s": 1.0},
            msgspec.json.decode(reply.body),
        )

    def test_unknown_directions_get_503(self):
        reply, _ = self.ask("/-/resolve", b"", None)
        self.assertEqual(503, reply.status)

    def test_other_path_gets_404(self):
        reply, questions = self.ask("/-/other", b"", None)
        self.assertEqual((404, []), (reply.status, questions))

    def test_answer_contains_at_most_64_addresses(self):
        many = tuple(f"10.0.0.1:{port}" for port in range(1, 90))
        reply, _ = self.ask("/-/resolve", b"", adapters.Directions(many, 1.0))
        self.assertEqual(64, len(msgspec.json.decode(reply.body)["addresses"]))


class EntryVmTest(testtools.TestCase):
    def test_vm_lists_itself_and_closes_connections_when_it_stops(self):
        async def main():
            with trio.fail_after(30):
                async with builders.running() as built:
                    settings = built.settings
                    target = "/-/resolve?name=x&zone=ain-sebaa"
                    resolved = await builders.get(
                        settings.directory_address, target
                    )
                    self.assertEqual(
                        [settings.caller_address],
                        msgspec.json.decode(resolved.content)["addresses"],
                    )
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(built.vm.stop, "SIGTERM")
                        await trio.sleep(0.1)
                        ready = await builders.get(
                            settings.ready_address, "/-/readiness"
                        )
                        self.assertEqual(503, ready.status)
                        # A caller that still has the address is served.
                        served = await builders.call(built, builders.READ_PATH)
                        self.assertEqual(200, served.status)
                        self.assertEqual(
                            "close", answers.header(served, "connection")
                        )
                        nursery.cancel_scope.cancel()

        trio.run(main)
