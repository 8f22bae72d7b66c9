import pathlib
import re
import typing

import testtools

from primrosemill.fleet import interfaces
from primrosemill.published import over_http

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "published.md"


class PageTest(testtools.TestCase):
    def test_page_lists_the_faults_and_limits(self):
        text = PAGE.read_text()
        rows = re.findall(r"^\| `(\w+)` \|", text, re.M)
        faults = typing.get_args(interfaces.PlatformFault)
        self.assertEqual([each.__name__ for each in faults], rows)
        self.assertIn(f"| {over_http.ANSWER_SIZE_LIMIT:,} bytes |", text)
        self.assertIn(
            f"| {over_http.READ_TIMEOUT:g} s; a watch: its wait and "
            f"{over_http.WATCH_MARGIN:g} s |",
            text,
        )
