"""Reads tables of the design notes whose rows name tests that walk them."""

import pathlib
import re

import testtools

TESTS = pathlib.Path("tests")
PREFIX = "test_row_"
ROW = re.compile(r"^\| `(\w+)` \|.*\| `([\w/]+)` \|$", re.MULTILINE)


def check_rows(
    case: testtools.TestCase, page: pathlib.Path, own_name: str
) -> None:
    """Check that each row has its test, and each such test of a case its row.

    ``own_name`` is the module of the case, as the rows name it.
    """
    tests_by_row = dict(ROW.findall(page.read_text()))
    own = {row for row, test in tests_by_row.items() if test == own_name}
    walked = {
        name.removeprefix(PREFIX)
        for name in dir(case)
        if name.startswith(PREFIX)
    }
    case.assertEqual(own, walked)
    for test in tests_by_row.values():
        case.assertTrue((TESTS / f"{test}.py").exists(), test)
