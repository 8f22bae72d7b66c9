import posixpath
import urllib.parse

import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import paths

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)


class PathsTest(testtools.TestCase):
    def test_plain_and_encoded_paths_are_accepted(self):
        for raw, path in (
            (b"/", "/"),
            (b"/slots/today/", "/slots/today/"),
            (b"/caf%C3%A9/%62ookings", "/caf\u00e9/bookings"),
            (b"/a.b/..c/...", "/a.b/..c/..."),
        ):
            self.assertEqual(path, paths.check_path(raw).ok)

    def test_ambiguous_and_invalid_paths_are_refused(self):
        cases = [
            (paths.NotAbsolute, [b"", b"slots", b"*", b"http://x/"]),
            (paths.TooLong, [b"/" * (paths.MAX_PATH_BYTES + 1)]),
            (paths.BadEscape, [b"/%", b"/%zz", b"/%2", b"/%ff"]),
            (
                paths.UnsafeByte,
                [b"/a\\b", b"/a\x00", b"/\xc3", b"/a b", b"/a?b", b"/a#"],
            ),
            (
                paths.UnsafeEscape,
                [b"/a%2Fb", b"/a%2f..", b"/%5c", b"/%00", b"/%252e", b"/%7F"],
            ),
            (
                paths.DotSegment,
                [
                    b"/slots/../bookings",
                    b"/slots/%2e%2E/bookings",
                    b"/slots/.%2e/bookings",
                    b"/slots/./today",
                    b"/slots/..;x/bookings",
                    b"/slots/%2e%2e%3Bx/bookings",
                    b"/..",
                ],
            ),
            (paths.EmptySegment, [b"//bookings", b"/slots//today", b"//"]),
        ]
        for fault_type, raws in cases:
            for raw in raws:
                self.assertIsInstance(
                    paths.check_path(raw).error, fault_type, raw
                )

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=12))
    def test_accepted_paths_are_unchanged_by_decoding_and_normalizing(
        self, rest
    ):
        raw = b"/" + rest
        result = paths.check_path(raw)
        if result.is_error():
            return
        path = result.ok
        self.assertEqual(raw.count(b"/"), path.count("/"))
        self.assertEqual(path, urllib.parse.unquote(path))
        self.assertEqual(path.rstrip("/") or "/", posixpath.normpath(path))
