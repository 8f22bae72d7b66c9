import testtools

from primrosemill.proxy import headers


def forward(*lines):
    return headers.forward(list(lines), headers.REQUEST_NAMES_DROPPED)


class ForwardTest(testtools.TestCase):
    def test_other_headers_are_forwarded_unchanged(self):
        lines = [(b"X-Colour", b"red"), (b"x-colour", b"blue")]
        self.assertEqual(lines, forward(*lines))

    def test_hop_by_hop_headers_are_dropped(self):
        self.assertEqual(
            [(b"host", b"a")],
            forward(
                (b"host", b"a"),
                (b"Connection", b"close, X-Private"),
                (b"x-private", b"1"),
                (b"Keep-Alive", b"5"),
                (b"expect", b"100-continue"),
                (b"x-request-timeout", b"9"),
            ),
        )

    def test_a_length_next_to_a_transfer_encoding_is_dropped(self):
        self.assertEqual(
            [],
            forward(
                (b"content-length", b"3"), (b"transfer-encoding", b"chunked")
            ),
        )


class TimeoutTest(testtools.TestCase):
    def test_the_callers_timeout_is_limited_by_the_ceiling(self):
        self.assertEqual(2.5, headers.parse_timeout(b"2.5", 10.0))
        self.assertEqual(10.0, headers.parse_timeout(b"99", 10.0))
        self.assertEqual(0.0, headers.parse_timeout(b"0", 10.0))

    def test_an_invalid_timeout_counts_as_absent(self):
        for value in (None, b"", b"soon", b"nan", b"inf", b"-1"):
            self.assertEqual(10.0, headers.parse_timeout(value, 10.0))
