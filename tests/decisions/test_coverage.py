import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import coverage
from primrosemill.decisions import holdings


def led(number, **changes):
    instance = documents.Instance(
        f"i-{number}", "10.0.0.1", 1 + number, "a", slots=4
    )
    made = holdings.InstanceUsage(instance._replace(**changes), 0.0)
    made.led_elsewhere = False
    return made


class CoverageTest(testtools.TestCase):
    """The choice keeps to few instances, and a part of requests fails."""

    def setUp(self):
        super().setUp()
        self.watch = coverage.Coverage()
        self.belief = beliefs.Belief()
        self.local = [led(number) for number in range(4)]
        for number in range(4):
            self.belief.succeeded(f"i-{number}", 1.0, 1.0)

    def due(self, now):
        return self.watch.next_due(self.local, self.belief, now)

    def lose(self, now):
        for _ in range(5):
            self.watch.note(False, now)
            self.watch.note(True, now)

    def test_while_all_is_well_few_may_be_in_use(self):
        for _ in range(50):
            self.watch.note(True, 10.0)
        self.assertIsNone(self.due(10.0))

    def test_in_trouble_the_operators_share_gets_requests(self):
        self.lose(10.0)
        used = set()
        while (found := self.due(10.0)) is not None:
            self.assertNotIn(found, used)
            used.add(found)
            self.belief.succeeded(found, 10.0, 10.0)
        self.assertEqual(3, len(used))

    def test_an_instance_with_a_fresh_failure_need_not_be_used(self):
        self.belief.failed("i-0", 9.5)
        self.belief.failed("i-0", 9.5)
        self.lose(10.0)
        for _ in range(3):
            found = self.due(10.0)
            self.assertNotEqual("i-0", found)
            if found is not None:
                self.belief.succeeded(found, 10.0, 10.0)

    def test_one_out_of_reach_is_not_used(self):
        for number in range(4):
            self.belief.no_path(f"i-{number}", 10.0)
        self.lose(10.0)
        self.assertIsNone(self.due(10.0))

    def test_trouble_is_over_when_answers_come(self):
        self.lose(10.0)
        for _ in range(20):
            self.watch.note(True, 14.0)
        self.assertIsNone(self.due(14.0))

    def test_an_instance_that_joins_gets_a_request(self):
        self.local.append(led(4))
        self.assertEqual("i-4", self.due(1.5))
        self.local[-1].tried = True
        self.assertIsNone(self.due(1.5))

    def test_once_it_is_warm(self):
        self.local.append(led(4, cold_for=3.0))
        self.assertIsNone(self.due(1.5))
        self.assertEqual("i-4", self.due(3.5))

    def test_the_vm_that_leads_it_cares_for_it(self):
        self.local.append(led(4))
        self.local[-1].led_elsewhere = True
        self.assertIsNone(self.due(1.5))
