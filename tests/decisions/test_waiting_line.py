import testtools

from primrosemill.decisions import outcomes
from primrosemill.decisions import waiting_line


def waiter(ticket, priority=1, target=1.0, deadline=3.0, work=0.1):
    return waiting_line.Waiter(ticket, priority, target, deadline, work)


def tickets(queue, now):
    return [each.ticket for each in queue.in_order(now)]


class WaitingLineTest(testtools.TestCase):
    def test_priority_then_the_target_then_the_arrival_decide(self):
        queue = waiting_line.PriorityQueue()
        late = waiter(1, target=0.2)
        for each in (late, waiter(2, 2), waiter(3), waiter(4), waiter(5, 0)):
            queue.join(each, 0.0, None)
        self.assertEqual([5, 1, 3, 4, 2], tickets(queue, 0.0))
        self.assertEqual([5, 3, 4, 1, 2], tickets(queue, 0.5))

    def test_what_can_not_be_served_is_refused_at_once(self):
        queue = waiting_line.PriorityQueue()
        for number in range(30):
            self.assertIsNone(queue.join(waiter(number), 0.0, 20.0))
        refused = queue.join(waiter(99, deadline=1.0), 0.0, 20.0)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refused.reason)
        self.assertTrue(0 < refused.retry_after < 2.0)

    def test_a_deadline_too_near_for_the_work_is_refused(self):
        queue = waiting_line.PriorityQueue()
        refused = queue.join(waiter(1, deadline=0.05), 0.0, None)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refused.reason)

    def test_the_line_is_bounded(self):
        queue = waiting_line.PriorityQueue(capacity=2)
        for number in range(2):
            queue.join(waiter(number), 0.0, None)
        refused = queue.join(waiter(9), 0.0, None)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refused.reason)

    def test_a_late_waiter_goes_once_newcomers_take_all(self):
        queue = waiting_line.PriorityQueue()
        queue.join(waiter(1, target=0.3), 0.0, 10.0)
        for tenth in range(20):
            queue.note_arrival(1, 0.5 + tenth / 20)
        self.assertEqual([], queue.pop_unservable(0.1, 10.0))
        unservable = queue.pop_unservable(1.5, 10.0)
        self.assertEqual([1], [each.ticket for each in unservable])
        self.assertEqual(0, len(queue))

    def test_urgent_requests_do_not_count_those_behind_them(self):
        queue = waiting_line.PriorityQueue()
        for number in range(10):
            queue.join(waiter(number, 2), 0.0, 10.0)
        urgent = waiter(99, 1)
        self.assertEqual(0.0, queue.estimate_wait(urgent, 0.0, 10.0))
        patient = waiter(98, 2)
        self.assertEqual(1.0, queue.estimate_wait(patient, 0.0, 10.0))
