import pathlib

import testtools

from primrosemill.proxy import settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"
EXAMPLES = DOCS / "examples"


def indented(text):
    """Return the lines of a text as a page shows them."""
    return [f"    {line}" if line else "" for line in text.splitlines()]


def without_gaps(lines):
    return [line for line in lines if line]


class QuickstartTest(testtools.TestCase):
    def test_the_page_shows_the_example_files(self):
        shown = without_gaps((DOCS / "quickstart.md").read_text().splitlines())
        for name in ("quickstart.ini", "quickstart.py"):
            text = (EXAMPLES / name).read_text()
            lines = without_gaps(indented(text))
            # The page does without the module's docstring.
            body = [line for line in lines if '"""' not in line]
            start = shown.index(body[0])
            self.assertEqual(body, shown[start : start + len(body)])

    def test_the_settings_are_fine(self):
        result = settings.read(EXAMPLES / "quickstart.ini")
        self.assertTrue(result.is_ok(), result)
