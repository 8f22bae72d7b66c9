import pathlib

import testtools

from primrosemill.proxy import settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"
EXAMPLES = DOCS / "examples"


def indented(text):
    """Return the lines of a text indented as a code block of a page."""
    return [f"    {line}" if line else "" for line in text.splitlines()]


def without_blank_lines(lines):
    return [line for line in lines if line]


class QuickstartTest(testtools.TestCase):
    def test_page_contains_the_example_files(self):
        page_lines = without_blank_lines(
            (DOCS / "quickstart.md").read_text().splitlines()
        )
        for name in ("quickstart.ini", "quickstart.py"):
            text = (EXAMPLES / name).read_text()
            lines = without_blank_lines(indented(text))
            # The page omits the module's docstring.
            body = [line for line in lines if '"""' not in line]
            start = page_lines.index(body[0])
            self.assertEqual(body, page_lines[start : start + len(body)])

    def test_example_settings_are_valid(self):
        result = settings.read(EXAMPLES / "quickstart.ini")
        self.assertTrue(result.is_ok(), result)
