import testtools

from primrosemill.decisions import instance_usage
from primrosemill.decisions import outcomes
from primrosemill.platform import headers

SHED = [(b"Primrosemill-Not-Executed", b"1")]


class HeadersTest(testtools.TestCase):
    def test_time_left_is_in_milliseconds(self):
        self.assertEqual(1.5, headers.parse_time_left(b"1500", 9.0))
        self.assertEqual(9.0, headers.parse_time_left(b"20000", 9.0))
        self.assertEqual(9.0, headers.parse_time_left(None, 9.0))
        for invalid in (b"", b"soon", b"-1", b"nan", b"inf"):
            self.assertEqual(9.0, headers.parse_time_left(invalid, 9.0))
        self.assertEqual(b"1500", headers.format_time_left(1.5004))
        self.assertEqual(b"1", headers.format_time_left(-2.0))

    def test_not_run_needs_the_header_or_status_421(self):
        reasons = outcomes.NotRunReason
        for status in (400, 429, 503):
            self.assertIs(reasons.SHED, headers.read_not_run(status, SHED))
            self.assertIsNone(headers.read_not_run(status, []))
        self.assertIs(reasons.OTHER_INSTANCE, headers.read_not_run(421, []))

    def test_invalid_load_is_none(self):
        name = b"Primrosemill-Instance-Load"
        self.assertEqual(
            instance_usage.Load(3, 1, 8),
            headers.read_load([(name, b"3, 1,8")]),
        )
        for invalid in (b"", b"3,1", b"a,b,c", b"3,-1,8", b"1,2,3,4"):
            self.assertIsNone(headers.read_load([(name, invalid)]))

    def test_limit_is_a_decimal_number(self):
        def read(*values):
            return headers.read_limit(
                [(b"Server-Limit", value) for value in values]
            )

        self.assertIsNone(headers.read_limit([]))
        for value, expected in (
            *((b"3", 3.0), (b" 2.2 ", 2.2), (b"0", 0.0), (b".5", 0.5)),
        ):
            self.assertEqual(expected, read(value).ok)
        for invalid in (
            *(b"", b"many", b"-1", b"+1", b"nan", b"inf", b"1e3", b"1_0"),
            *(b"0x1", b"1 2", b"1" * 400, "\u0663".encode(), b"\xff"),
        ):
            fault = read(invalid).error
            self.assertLessEqual(len(fault.value), 40)

    def test_lowest_of_several_limits_counts(self):
        for values in ((b"3", b"1"), (b"3, 1",)):
            lines = [(b"server-limit", value) for value in values]
            self.assertEqual(1.0, headers.read_limit(lines).ok)
        invalid = [(b"server-limit", b"3"), (b"server-limit", b"many")]
        self.assertTrue(headers.read_limit(invalid).is_error())
