import pathlib

import testtools

from primrosemill.proxy import counters

PAGE = pathlib.Path("docs/metrics.md")


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
            values_by_label.setdefault(label, []).append(value)
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
