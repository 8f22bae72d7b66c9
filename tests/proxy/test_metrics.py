import pathlib

import testtools
import trio

from primrosemill.proxy import counters
from tests.builders import users_platform as builders

PAGE = pathlib.Path("docs/metrics.md")
WORK_TIME = 0.1  # seconds that an instance takes


def rows():
    found = {}
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if cells[0].startswith("`primrosemill_"):
            found[cells[0].strip("`")] = cells[1:]
    return found


def labels_text(metric):
    values_by_label = {}
    for sample in metric.samples:
        if sample.name.endswith("_created"):
            continue
        for label, value in sample.labels.items():
            # A metric with two labels has each value once for each pair.
            values_by_label.setdefault(label, {})[value] = None
    return ", ".join(
        f"`{label}`: {', '.join(values)}"
        for label, values in values_by_label.items()
    )


class MetricsPageTest(testtools.TestCase):
    def test_the_page_describes_every_metric(self):
        offered = {}
        for metric in counters.Counters().registry.collect():
            labels = "" if metric.type == "histogram" else labels_text(metric)
            offered[metric.name] = [metric.type, labels, metric.documentation]
        self.assertEqual(offered, rows())


class TimesTest(testtools.TestCase):
    """The times in the queue and at the instance are told apart."""

    def test_each_time_is_counted_once_for_a_request(self):
        async def check(built):
            for each in built.instances:
                each.pause = WORK_TIME
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(
                        builders.call, built, builders.ONCE_PATH, f"r{number}"
                    )
            page = await builders.get(built.settings.admin_address, "/metrics")
            self.page = page.content.decode()

        builders.run(check, count=1)
        self.assertEqual(4.0, self.value("attempt_seconds_count"))
        self.assertEqual(4.0, self.value("wait_seconds_count"))
        # One of four has to wait for one of three slots.
        waited = self.value("wait_seconds_sum")
        self.assertGreater(waited, 0.5 * WORK_TIME)
        worked = self.value("attempt_seconds_sum")
        self.assertGreater(worked, 4 * WORK_TIME)

    def value(self, name):
        line = f"primrosemill_{name} "
        (found,) = [
            each for each in self.page.splitlines() if each.startswith(line)
        ]
        return float(found.removeprefix(line))
