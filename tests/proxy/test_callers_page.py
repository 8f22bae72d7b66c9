import pathlib

import testtools

from primrosemill.decisions import outcomes
from primrosemill.proxy import dialects

PAGE = pathlib.Path("docs/callers.md")


def statuses_by_reason(outcome):
    """Return the statuses in the page's table for one outcome, by reason."""
    status_by_reason = {}
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) != 3 or not cells[0].isdigit():
            continue
        fields = [word.strip("` ") for word in cells[1].split(",")]
        if fields[0] == outcome:
            status_by_reason |= {
                reason: int(cells[0]) for reason in fields[1:]
            }
    return status_by_reason


class CallersPageTest(testtools.TestCase):
    def test_the_page_lists_each_refusal_and_its_status(self):
        expected = {
            reason.value: dialects.STATUS_BY_REFUSAL.get(
                reason, dialects.STATUS_UNAVAILABLE
            )
            for reason in outcomes.RefusalReason
        }
        self.assertEqual(expected, statuses_by_reason("not-run"))

    def test_the_page_lists_each_unknown_reason(self):
        self.assertEqual(
            {reason.value for reason in outcomes.UnknownReason},
            set(statuses_by_reason("unknown")),
        )
