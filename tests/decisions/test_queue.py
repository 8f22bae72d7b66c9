import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import outcomes
from primrosemill.decisions import queue

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
LATE = 100.0


def waiter(ticket, caller="a", latest_start=LATE):
    return queue.Waiter(ticket, caller, latest_start)


def fill(capacity, *callers):
    built = queue.WaitQueue(capacity)
    for ticket, caller in enumerate(callers):
        built.join(waiter(ticket, caller), 0.0, None)
    return built


def drain(built, now=0.0):
    popped = []
    while built:
        each = built.pop(now)
        if each is not None:
            popped.append(each.ticket)
    return popped


class QueueTest(testtools.TestCase):
    def test_callers_take_turns(self):
        built = fill(10, "a", "a", "a", "b", "c")
        self.assertEqual([0, 3, 4, 1, 2], drain(built))

    def test_refuses_at_once_what_can_not_start_in_time(self):
        built = fill(10, "a", "a", "a", "a")
        refused = built.join(waiter(9, "a", 1.9), 0.0, 2.0)
        self.assertEqual(
            queue.Refused(outcomes.RefusalReason.DEADLINE, 1.0), refused
        )
        self.assertIsInstance(
            built.join(waiter(9, "a", 2.0), 0.0, 2.0), queue.Joined
        )

    def test_turns_shorten_the_wait_of_a_new_caller(self):
        built = fill(10, "a", "a", "a", "a")
        self.assertEqual(0.5, built.estimate_wait("b", 2.0))
        self.assertEqual(2.0, built.estimate_wait("a", 2.0))

    def test_a_greedy_caller_gives_up_its_newest_place(self):
        built = fill(3, "a", "a", "a")
        joined = built.join(waiter(3, "b"), 0.0, 1.0)
        self.assertEqual(2, joined.evicted.ticket)
        refused = built.join(waiter(4, "b"), 0.0, 1.0)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refused.reason)
        self.assertEqual([0, 3, 1], drain(built))

    def test_who_can_not_start_any_more_is_passed_over(self):
        built = queue.WaitQueue(3)
        built.join(waiter(0, "a", 1.0), 0.0, None)
        built.join(waiter(1, "a", 3.0), 0.0, None)
        self.assertEqual(1, built.pop(2.0).ticket)
        self.assertIsNone(built.pop(2.0))

    def test_retry_after_stays_within_bounds(self):
        built = fill(1000, *["a"] * 1000)
        self.assertEqual(5.0, built.retry_after(100.0))
        self.assertEqual(queue.MOST_RETRY_AFTER, built.retry_after(0.1))
        self.assertEqual(queue.LEAST_RETRY_AFTER, built.retry_after(1e6))

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
    def test_nobody_is_lost_and_the_bound_holds(self, steps):
        built = queue.WaitQueue(5)
        inside = set()
        for ticket, (caller, step) in enumerate(steps):
            if step == "join":
                joined = built.join(waiter(ticket, caller), 0.0, 1e9)
                if isinstance(joined, queue.Joined):
                    inside.add(ticket)
                    if joined.evicted:
                        inside.remove(joined.evicted.ticket)
            elif step == "pop" and inside:
                inside.remove(built.pop(0.0).ticket)
            elif step == "remove" and inside:
                gone = min(inside)
                self.assertTrue(built.remove(gone))
                inside.remove(gone)
            self.assertEqual(len(inside), len(built))
            self.assertLessEqual(len(built), 5)
        self.assertEqual(inside, set(drain(built)))
