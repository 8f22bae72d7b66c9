import msgspec
import testtools

from tests.builders import commands

ANSWER = {
    "service": "reservations",
    "addresses": ["127.0.0.2:8080", "127.0.0.3:8080"],
    "lifetime": 30.0,
}


def run_against(content, status=200, *options):
    encoded = commands.answer(msgspec.json.encode(content), status)
    return commands.run_against(encoded, "addresses", "reservations", *options)


class AddressesTest(testtools.TestCase):
    def test_addresses_are_printed_in_the_order_of_the_answer(self):
        result = run_against(ANSWER)
        self.assertEqual(0, result.exit_code, result.output)
        self.assertEqual("127.0.0.2:8080\n127.0.0.3:8080\n", result.stdout)
        self.assertEqual("to be kept for 30 s\n", result.stderr)

    def test_json_output_holds_the_whole_answer(self):
        result = run_against(ANSWER, 200, "--json", "--caller", "a b")
        self.assertEqual(ANSWER, msgspec.json.decode(result.stdout))

    def test_an_unknown_service_exits_with_2(self):
        fault = {"fault": "UnknownService", "service": "other"}
        result = run_against(fault, 404)
        self.assertEqual(2, result.exit_code)
        self.assertIn("UnknownService: service='other'", result.stderr)

    def test_unexpected_responses_exit_with_1(self):
        for content, status in (({}, 200), ({}, 404), (ANSWER, 500)):
            result = run_against(content, status)
            self.assertEqual(1, result.exit_code)
            self.assertIsInstance(result.exception, SystemExit)
