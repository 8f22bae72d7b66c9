import random

import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import balance
from primrosemill.decisions import holdings

ONCE = balance.Criteria(False)
AGAIN = balance.Criteria(True)
ONCE_LATER = balance.Criteria(False, wait_cost=0.1)
AGAIN_LATER = balance.Criteria(True, wait_cost=0.1)
NEAR = "ain-sebaa"
FAR = "hay-riad"


def instance(number, domain=NEAR, **changes):
    made = documents.Instance(
        f"i-{number}", "10.0.0.1", number + 1, domain, slots=2
    )
    return made._replace(**changes)


def fail(made, instance_id, now):
    """Let an instance fail often enough to be in a spell for certain."""
    for _ in range(2):
        made.belief.failed(instance_id, now)


class BalanceTest(testtools.TestCase):
    def make(self, *instances):
        made = balance.Balance(NEAR, random.Random(1))
        made.set_instances(instances, 0.0)
        return made

    def test_slots_are_filled_and_no_more(self):
        made = self.make(instance(0), instance(1))
        ids = [made.choose(ONCE, 1.0).id for _ in range(4)]
        self.assertEqual(["i-0", "i-1"] * 2, sorted(ids)[::2] * 2)
        self.assertIsNone(made.choose(ONCE, 1.0))

    def test_the_own_failure_domain_goes_first(self):
        made = self.make(instance(0, FAR), instance(1))
        ids = [made.choose(ONCE, 1.0).id for _ in range(3)]
        self.assertEqual(["i-1", "i-1", "i-0"], ids)

    def test_a_large_body_stays_in_the_own_domain(self):
        made = self.make(instance(0, FAR), instance(1))
        need = balance.Criteria(False, local=True)
        for _ in range(2):
            self.assertEqual("i-1", made.choose(need, 1.0).id)
        self.assertIsNone(made.choose(need, 1.0))

    def test_leaving_and_tried_instances_get_nothing(self):
        made = self.make(
            instance(0, state=documents.LEAVING), instance(1), instance(2)
        )
        need = balance.Criteria(False, excluded=frozenset({"i-1"}))
        self.assertEqual("i-2", made.choose(need, 1.0).id)

    def test_a_request_may_be_kept_to_the_instances_it_was_sent_to(self):
        made = self.make(instance(0), instance(1))
        need = balance.Criteria(False, only=frozenset({"i-1"}))
        self.assertEqual("i-1", made.choose(need, 1.0).id)

    def test_what_others_do_there_counts_until_it_fades(self):
        made = self.make(instance(0), instance(1))
        # Two requests of others and the one that is answered.
        made.note_load("i-0", holdings.Load(2, 1, 2), 1.0)
        ids = {made.choose(ONCE, 1.0).id for _ in range(2)}
        self.assertEqual({"i-1"}, ids)
        self.assertIsNone(made.choose(ONCE, 1.0))
        self.assertEqual("i-0", made.choose(ONCE, 1.5).id)

    def test_an_instance_that_shed_rests_for_a_moment(self):
        made = self.make(instance(0))
        made.note_shed("i-0", 1.0)
        self.assertIsNone(made.choose(ONCE, 1.01))
        self.assertIsNotNone(made.choose(ONCE, 1.5))

    def test_an_instance_in_a_spell_gets_nothing_while_others_serve(self):
        made = self.make(*(instance(number) for number in range(4)))
        fail(made, "i-2", 1.0)
        for need in (ONCE_LATER, AGAIN_LATER):
            ids = [made.choose(need, 1.1).id for _ in range(3)]
            self.assertNotIn("i-2", ids)
        # All others are full, and a slot there is worth a short wait.
        self.assertIsNone(made.choose(ONCE_LATER, 1.1))
        self.assertIsNone(made.choose(AGAIN_LATER, 1.1))

    def test_a_request_that_can_not_wait_takes_what_there_is(self):
        made = self.make(*(instance(number) for number in range(4)))
        fail(made, "i-2", 1.0)
        ids = [made.choose(ONCE, 1.1).id for _ in range(7)]
        self.assertEqual("i-2", ids[6])

    def test_what_may_be_repeated_finds_out_at_home(self):
        made = self.make(instance(0), instance(1, FAR))
        made.belief.succeeded("i-1", 1.4, 1.5)
        made.belief.failed("i-0", 1.0)
        self.assertEqual("i-1", made.choose(ONCE, 1.5).id)
        self.assertEqual("i-0", made.choose(AGAIN, 4.0).id)

    def test_an_instance_of_another_vm_lends_one_slot_while_it_is_used(self):
        made = self.make(instance(0))
        for _ in range(30):
            made.note_load("i-0", holdings.Load(2, 0, 2), 1.0)
        # A peer has told of it.
        made.belief.succeeded("i-0", 4.5, 4.5)
        self.assertIsNotNone(made.choose(ONCE, 5.0))
        self.assertIsNone(made.choose(ONCE, 5.0))

    def test_one_that_nobody_uses_lends_all_its_slots(self):
        made = self.make(instance(0))
        for _ in range(30):
            made.note_load("i-0", holdings.Load(2, 0, 2), 1.0)
        made.belief.succeeded("i-0", 1.0, 1.0)
        found = [made.choose(ONCE, 5.0) for _ in range(3)]
        self.assertEqual([True, True, False], [bool(each) for each in found])

    def test_what_is_usual_closes_no_instance_for_good(self):
        made = self.make(instance(0))
        for _ in range(100):
            made.note_load("i-0", holdings.Load(2, 12, 2), 1.0)
        self.assertIsNone(made.choose(ONCE, 1.1))
        self.assertIsNotNone(made.choose(ONCE, 2.0))

    def test_the_floor_stays_in_use_whatever_is_suspected(self):
        made = self.make(*(instance(number) for number in range(10)))
        for number in range(10):
            made.belief.failed(f"i-{number}", 1.0)
        ids = {made.choose(ONCE, 1.1).id for _ in range(14)}
        self.assertTrue(len(ids) >= 7, ids)

    def test_requests_that_run_once_go_where_all_was_well_lately(self):
        made = self.make(*(instance(number) for number in range(3)))
        made.belief.succeeded("i-1", 9.0, 9.0)
        made.belief.succeeded("i-2", 4.0, 4.0)
        self.assertEqual("i-1", made.choose(ONCE, 9.2).id)

    def test_they_keep_to_few_instances_while_those_have_room(self):
        made = self.make(*(instance(number, slots=4) for number in range(4)))
        for number in range(4):
            made.belief.succeeded(f"i-{number}", 9.0 - number, 9.0)
        ids = [made.choose(ONCE, 9.0).id for _ in range(2)]
        self.assertEqual(["i-0", "i-0"], ids)

    def test_a_crossing_costs_more_than_a_small_doubt(self):
        made = self.make(instance(0), instance(1, FAR))
        made.belief.succeeded("i-1", 9.0, 9.0)
        self.assertEqual("i-0", made.choose(ONCE, 9.0).id)
        fail(made, "i-0", 9.1)
        self.assertEqual("i-1", made.choose(ONCE, 9.2).id)

    def test_an_instance_that_holds_a_request_too_long_is_avoided(self):
        made = self.make(*(instance(number) for number in range(4)))
        made.usual_time = 0.1
        first = made.choose(ONCE, 1.0).id
        ids = {made.choose(ONCE, 3.0).id for _ in range(6)}
        self.assertNotIn(first, ids)

    def test_another_boot_under_an_id_is_another_instance(self):
        made = self.make(instance(0, boot=1), instance(1))
        made.belief.failed("i-0", 1.0)
        made.choose(ONCE, 1.0)
        made.set_instances([instance(0, boot=2), instance(1)], 1.1)
        self.assertEqual(0, made.busy_at("i-0"))
        self.assertEqual(
            made.belief.chance("i-9", 1.1), made.belief.chance("i-0", 1.1)
        )

    def test_a_cold_instance_counts_as_busier(self):
        made = self.make(instance(0, cold_for=3.0), instance(1))
        self.assertEqual("i-1", made.choose(ONCE, 1.0).id)

    def test_a_slot_is_given_back_by_the_time_it_was_taken(self):
        made = self.make(instance(0))
        made.choose(ONCE, 1.0)
        made.choose(ONCE, 2.0)
        made.release("i-0", 1.02)
        self.assertEqual(1, made.busy)
        made.release("i-0", 2.0)
        made.release("i-0", 2.0)
        made.release("gone", 2.0)
        self.assertEqual(0, made.busy)


class LastAttemptTest(testtools.TestCase):
    """A repeatable request that has failed once goes where all was well."""

    def make(self):
        made = balance.Balance(NEAR, random.Random(1))
        made.set_instances([instance(0), instance(1, FAR)], 0.0)
        # The one at home is in doubt, the other was well just now.
        fail(made, "i-0", 1.0)
        made.belief.succeeded("i-1", 4.4, 4.4)
        return made

    def test_the_first_attempt_finds_out_at_home(self):
        self.assertEqual("i-0", self.make().choose(AGAIN, 4.5).id)

    def test_the_second_one_goes_to_the_instance_that_was_well(self):
        need = balance.Criteria(True, excluded=frozenset({"i-9"}))
        self.assertEqual("i-1", self.make().choose(need, 4.5).id)


class MostAreSuspectTest(testtools.TestCase):
    """More instances than the floor lets go fail now and then."""

    def test_the_least_suspect_one_goes_first(self):
        made = balance.Balance(NEAR, random.Random(1))
        made.set_instances([instance(number) for number in range(4)], 0.0)
        for number, failures in enumerate((3, 1, 4, 2)):
            for _ in range(failures):
                made.belief.failed(f"i-{number}", 1.0)
        self.assertEqual("i-1", made.choose(ONCE, 1.1).id)
