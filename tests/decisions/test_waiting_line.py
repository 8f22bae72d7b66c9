import testtools

from primrosemill.decisions import outcomes
from primrosemill.decisions import waiting_line


def waiter(ticket, priority=1, target=1.0, deadline=3.0, work=0.1):
    return waiting_line.Waiter(ticket, priority, target, deadline, work)


def tickets(line, now):
    return [each.ticket for each in line.in_order(now)]


class WaitingLineTest(testtools.TestCase):
    def test_priority_then_the_target_then_the_arrival_decide(self):
        line = waiting_line.WaitingLine()
        late = waiter(1, target=0.2)
        for each in (late, waiter(2, 2), waiter(3), waiter(4), waiter(5, 0)):
            line.join(each, 0.0, None)
        self.assertEqual([5, 1, 3, 4, 2], tickets(line, 0.0))
        self.assertEqual([5, 3, 4, 1, 2], tickets(line, 0.5))

    def test_what_can_not_be_served_is_refused_at_once(self):
        line = waiting_line.WaitingLine()
        for number in range(30):
            self.assertIsNone(line.join(waiter(number), 0.0, 20.0))
        refused = line.join(waiter(99, deadline=1.0), 0.0, 20.0)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refused.reason)
        self.assertTrue(0 < refused.retry_after < 2.0)

    def test_a_deadline_too_near_for_the_work_is_refused(self):
        line = waiting_line.WaitingLine()
        refused = line.join(waiter(1, deadline=0.05), 0.0, None)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refused.reason)

    def test_the_line_is_bounded(self):
        line = waiting_line.WaitingLine(capacity=2)
        for number in range(2):
            line.join(waiter(number), 0.0, None)
        refused = line.join(waiter(9), 0.0, None)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refused.reason)

    def test_a_late_waiter_goes_once_newcomers_take_all(self):
        line = waiting_line.WaitingLine()
        line.join(waiter(1, target=0.3), 0.0, 10.0)
        for tenth in range(20):
            line.note_arrival(1, 0.5 + tenth / 20)
        self.assertEqual([], line.hopeless(0.1, 10.0))
        found = line.hopeless(1.5, 10.0)
        self.assertEqual([1], [each.ticket for each in found])
        self.assertEqual(0, len(line))

    def test_urgent_requests_do_not_count_those_behind_them(self):
        line = waiting_line.WaitingLine()
        for number in range(10):
            line.join(waiter(number, 2), 0.0, 10.0)
        urgent = waiter(99, 1)
        self.assertEqual(0.0, line.estimate_wait(urgent, 0.0, 10.0))
        patient = waiter(98, 2)
        self.assertEqual(1.0, line.estimate_wait(patient, 0.0, 10.0))
