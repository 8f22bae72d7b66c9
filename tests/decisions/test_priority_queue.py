import testtools

from primrosemill.decisions import outcomes
from primrosemill.decisions import priority_queue


def waiter(ticket, priority=1, target=1.0, deadline=3.0, work=0.1):
    return priority_queue.Waiter(ticket, priority, target, deadline, work)


def tickets(queue, now):
    return [each.ticket for each in queue.in_order(now)]


class PriorityQueueTest(testtools.TestCase):
    def test_the_order_is_by_priority_then_lateness_then_arrival(self):
        queue = priority_queue.PriorityQueue()
        late_waiter = waiter(1, target=0.2)
        for each in (
            late_waiter,
            waiter(2, 2),
            waiter(3),
            waiter(4),
            waiter(5, 0),
        ):
            queue.enqueue(each, 0.0, None)
        self.assertEqual([5, 1, 3, 4, 2], tickets(queue, 0.0))
        self.assertEqual([5, 3, 4, 1, 2], tickets(queue, 0.5))

    def test_a_request_that_cannot_be_served_in_time_is_refused(self):
        queue = priority_queue.PriorityQueue()
        for number in range(30):
            self.assertIsNone(queue.enqueue(waiter(number), 0.0, 20.0))
        refusal = queue.enqueue(waiter(99, deadline=1.0), 0.0, 20.0)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refusal.reason)
        self.assertTrue(0 < refusal.retry_after < 2.0)

    def test_a_deadline_before_the_expected_answer_is_refused(self):
        queue = priority_queue.PriorityQueue()
        refusal = queue.enqueue(waiter(1, deadline=0.05), 0.0, None)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refusal.reason)

    def test_a_full_queue_refuses_requests(self):
        queue = priority_queue.PriorityQueue(capacity=2)
        for number in range(2):
            queue.enqueue(waiter(number), 0.0, None)
        refusal = queue.enqueue(waiter(9), 0.0, None)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refusal.reason)

    def test_a_late_waiter_is_removed_when_arrivals_use_up_the_drain_rate(
        self,
    ):
        queue = priority_queue.PriorityQueue()
        queue.enqueue(waiter(1, target=0.3), 0.0, 10.0)
        for tenth in range(20):
            queue.record_arrival(1, 0.5 + tenth / 20)
        self.assertEqual([], queue.pop_unservable(0.1, 10.0))
        unservable = queue.pop_unservable(1.5, 10.0)
        self.assertEqual([1], [each.ticket for each in unservable])
        self.assertEqual(0, len(queue))

    def test_the_estimated_wait_counts_only_requests_ahead(self):
        queue = priority_queue.PriorityQueue()
        for number in range(10):
            queue.enqueue(waiter(number, 2), 0.0, 10.0)
        urgent_waiter = waiter(99, 1)
        self.assertEqual(0.0, queue.estimate_wait(urgent_waiter, 0.0, 10.0))
        less_urgent_waiter = waiter(98, 2)
        self.assertEqual(
            1.0, queue.estimate_wait(less_urgent_waiter, 0.0, 10.0)
        )

    def test_waiters_that_cannot_end_before_a_stop_are_removed_at_once(self):
        # Guards against requests that wait for a slot until the VM ends.
        queue = priority_queue.PriorityQueue()
        for number in range(20):
            far = waiter(number, target=90.0, deadline=99.0)
            self.assertIsNone(queue.enqueue(far, 0.0, 10.0))
        self.assertEqual([], queue.pop_unservable(0.0, 10.0))
        queue.end_by(1.1)
        removed = queue.pop_unservable(0.0, 10.0)
        self.assertEqual(list(range(9, 20)), [each.ticket for each in removed])
        removed = queue.pop_unservable(1.0, 10.0)
        self.assertEqual(list(range(9)), [each.ticket for each in removed])
