import pathlib
import re
import typing

import testtools

from primrosemill.configuration import checks
from primrosemill.configuration import faults
from primrosemill.configuration import values

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "configuration.md"
FORMS = (
    values.IndexValue,
    values.PartReference,
    values.ServiceValue,
    values.InstanceValue,
    values.RouteValue,
    values.LimitsValue,
    values.LimitValue,
)


def section(title):
    text = PAGE.read_text().partition(f"\n## {title}\n")[2]
    return text.partition("\n## ")[0]


def type_text(form, field):
    hint = typing.get_type_hints(form)[field]
    name = hint.__name__ if isinstance(hint, type) else str(hint)
    if typing.get_args(hint):
        name = str(hint)
    name = re.sub(r"[a-z.]+\.(?=[A-Z])", "", name)
    optional = field in form.__optional_keys__
    return f"`{name}`" + (", optional" if optional else "")


class PageTest(testtools.TestCase):
    def test_each_form_has_the_fields_of_the_code(self):
        for form in FORMS:
            rows = re.findall(
                r"^\| `(\w+)` \| ([^|]*) \|", section(form.__name__), re.M
            )
            expected = [
                (field, type_text(form, field))
                for field in typing.get_type_hints(form)
            ]
            self.assertEqual(expected, rows)

    def test_each_range_is_that_of_the_code(self):
        rows = re.findall(
            r"^\| `(\w+)` \| [^|]* \| ([\d.]+) to ([\d.]+) \|",
            section("ServiceValue"),
            re.M,
        )
        ranges_by_field = {
            name: checks.Range(float(lowest), float(highest))
            for name, lowest, highest in rows
        }
        self.assertEqual(checks.SERVICE_RANGES_BY_FIELD, ranges_by_field)

    def test_the_other_numbers_are_those_of_the_code(self):
        for title, allowed in (
            ("RouteValue", checks.DEADLINE_RANGE),
            ("LimitValue", checks.RATE_RANGE),
            ("LimitValue", checks.BURST_RANGE),
        ):
            text = f"{allowed.lowest:g} to {allowed.highest:.0f}"
            self.assertIn(text, section(title))
        self.assertIn(
            f"; {checks.DEFAULT_DEADLINE:g} if absent", section("RouteValue")
        )
        self.assertIn(f"{values.VALUE_SIZE_LIMIT:,} bytes", PAGE.read_text())

    def test_each_fault_is_explained(self):
        rows = re.findall(r"^\| `(\w+)` \|", section("Faults"), re.M)
        expected = [each.__name__ for each in typing.get_args(faults.Fault)]
        self.assertEqual(expected, rows)
