import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import outcomes
from primrosemill.decisions import wait_queue as wait_queues

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
LATE = 100.0


def waiter(ticket, caller="a", latest_start=LATE):
    return wait_queues.Waiter(ticket, caller, latest_start)


def build_queue(capacity, *callers):
    wait_queue = wait_queues.WaitQueue(capacity)
    for ticket, caller in enumerate(callers):
        wait_queue.enqueue(waiter(ticket, caller), 0.0, None)
    return wait_queue


def drain(wait_queue, now=0.0):
    popped = []
    while wait_queue:
        each = wait_queue.pop(now)
        if each is not None:
            popped.append(each.ticket)
    return popped


class QueueTest(testtools.TestCase):
    def test_callers_are_served_round_robin(self):
        wait_queue = build_queue(10, "a", "a", "a", "b", "c")
        self.assertEqual([0, 3, 4, 1, 2], drain(wait_queue))

    def test_a_request_that_cannot_start_in_time_is_refused_at_once(self):
        wait_queue = build_queue(10, "a", "a", "a", "a")
        refused = wait_queue.enqueue(waiter(9, "a", 1.9), 0.0, 2.0)
        self.assertEqual(
            wait_queues.Refused(outcomes.RefusalReason.DEADLINE, 1.0), refused
        )
        self.assertIsInstance(
            wait_queue.enqueue(waiter(9, "a", 2.0), 0.0, 2.0),
            wait_queues.Enqueued,
        )

    def test_waiters_that_cannot_start_before_a_stop_are_removed(self):
        # Guards against requests that wait for a slot until the VM ends.
        wait_queue = build_queue(10, "a", "a", "a", "b", "c")
        removed = wait_queue.end_by(1.5, 0.0, 2.0)
        self.assertEqual([2], [each.ticket for each in removed])
        self.assertEqual([0, 3, 4, 1], drain(wait_queue, 1.5))

    def test_waiters_that_stay_do_not_start_after_a_stop(self):
        wait_queue = build_queue(10, "a", "b")
        self.assertEqual([], wait_queue.end_by(1.5, 0.0, 2.0))
        self.assertEqual([], drain(wait_queue, 1.6))

    def test_a_new_caller_waits_less_than_a_caller_with_a_long_queue(self):
        wait_queue = build_queue(10, "a", "a", "a", "a")
        self.assertEqual(0.5, wait_queue.estimate_wait("b", 2.0))
        self.assertEqual(2.0, wait_queue.estimate_wait("a", 2.0))

    def test_the_newest_request_of_the_longest_queue_is_evicted(self):
        wait_queue = build_queue(3, "a", "a", "a")
        enqueued = wait_queue.enqueue(waiter(3, "b"), 0.0, 1.0)
        self.assertEqual(2, enqueued.evicted.ticket)
        refused = wait_queue.enqueue(waiter(4, "b"), 0.0, 1.0)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refused.reason)
        self.assertEqual([0, 3, 1], drain(wait_queue))

    def test_requests_that_cannot_start_in_time_are_skipped(self):
        wait_queue = wait_queues.WaitQueue(3)
        wait_queue.enqueue(waiter(0, "a", 1.0), 0.0, None)
        wait_queue.enqueue(waiter(1, "a", 3.0), 0.0, None)
        self.assertEqual(1, wait_queue.pop(2.0).ticket)
        self.assertIsNone(wait_queue.pop(2.0))

    def test_retry_after_stays_within_its_limits(self):
        wait_queue = build_queue(1000, *["a"] * 1000)
        self.assertEqual(5.0, wait_queue.retry_after(100.0))
        self.assertEqual(
            wait_queues.MAX_RETRY_AFTER, wait_queue.retry_after(0.1)
        )
        self.assertEqual(
            wait_queues.MIN_RETRY_AFTER, wait_queue.retry_after(1e6)
        )

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abcd"),
                strategies.sampled_from(["join", "pop", "remove"]),
            ),
            max_size=80,
        )
    )
    def test_no_request_is_lost_and_the_capacity_holds(self, steps):
        wait_queue = wait_queues.WaitQueue(5)
        queued = set()
        for ticket, (caller, step) in enumerate(steps):
            if step == "join":
                enqueued = wait_queue.enqueue(waiter(ticket, caller), 0.0, 1e9)
                if isinstance(enqueued, wait_queues.Enqueued):
                    queued.add(ticket)
                    if enqueued.evicted:
                        queued.remove(enqueued.evicted.ticket)
            elif step == "pop" and queued:
                queued.remove(wait_queue.pop(0.0).ticket)
            elif step == "remove" and queued:
                oldest = min(queued)
                self.assertTrue(wait_queue.remove(oldest))
                queued.remove(oldest)
            self.assertEqual(len(queued), len(wait_queue))
            self.assertLessEqual(len(wait_queue), 5)
        self.assertEqual(queued, set(drain(wait_queue)))
