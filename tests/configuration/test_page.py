import pathlib
import re
import typing

import testtools

from primrosemill.configuration import checks
from primrosemill.configuration import faults
from primrosemill.configuration import values

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "configuration.md"
VALUE_TYPES = (
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


def format_type(value_type, field):
    hint = typing.get_type_hints(value_type)[field]
    name = hint.__name__ if isinstance(hint, type) else str(hint)
    if typing.get_args(hint):
        name = str(hint)
    name = re.sub(r"[a-z.]+\.(?=[A-Z])", "", name)
    optional = field in value_type.__optional_keys__
    return f"`{name}`" + (", optional" if optional else "")


class PageTest(testtools.TestCase):
    def test_page_lists_the_fields_of_each_type(self):
        for value_type in VALUE_TYPES:
            rows = re.findall(
                r"^\| `(\w+)` \| ([^|]*) \|",
                section(value_type.__name__),
                re.M,
            )
            expected = [
                (field, format_type(value_type, field))
                for field in typing.get_type_hints(value_type)
            ]
            self.assertEqual(expected, rows)

    def test_page_lists_the_ranges_of_service_fields(self):
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

    def test_page_contains_the_other_ranges_and_limits(self):
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

    def test_page_lists_all_faults(self):
        rows = re.findall(r"^\| `(\w+)` \|", section("Faults"), re.M)
        expected = [each.__name__ for each in typing.get_args(faults.Fault)]
        self.assertEqual(expected, rows)
