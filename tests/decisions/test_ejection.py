import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import ejection
from primrosemill.decisions import standings
from tests.builders import detection as builders

STATE = standings.State
IDS = [f"i{number}" for number in range(8)]
SUSPECTS = strategies.lists(
    strategies.builds(
        ejection.Suspect,
        strategies.sampled_from(IDS),
        strategies.floats(0.0, 50.0),
        strategies.sampled_from([STATE.AVOIDED, STATE.EJECTED]),
        strategies.booleans(),
    ),
    unique_by=lambda suspect: suspect.instance_id,
)
CAPACITIES = strategies.builds(
    ejection.Capacity,
    strategies.frozensets(strategies.sampled_from(IDS)),
    strategies.frozensets(strategies.sampled_from(IDS)),
    strategies.integers(0, len(IDS)),
)


def suspect(number, score=9.0, removed=False):
    return ejection.Suspect(IDS[number], score, STATE.EJECTED, removed)


def capacity(floor, usable=IDS, removed_by_peers=()):
    return ejection.Capacity(
        frozenset(usable), frozenset(removed_by_peers), floor
    )


class EjectionTest(testtools.TestCase):
    def test_a_suspect_is_removed_above_the_floor(self):
        states = ejection.decide([suspect(0)], capacity(7))
        self.assertEqual({"i0": STATE.EJECTED}, states)

    def test_a_suspect_is_ranked_last_at_the_floor(self):
        states = ejection.decide([suspect(0)], capacity(8))
        self.assertEqual({"i0": STATE.RANKED_LAST}, states)

    def test_instances_removed_by_peers_are_no_capacity(self):
        states = ejection.decide(
            [suspect(0)], capacity(7, removed_by_peers=["i5"])
        )
        self.assertEqual({"i0": STATE.RANKED_LAST}, states)

    def test_unusable_instances_are_no_capacity(self):
        states = ejection.decide([suspect(0)], capacity(7, usable=IDS[:7]))
        self.assertEqual({"i0": STATE.RANKED_LAST}, states)

    def test_other_suspects_are_no_healthy_capacity(self):
        states = ejection.decide([suspect(0), suspect(1)], capacity(7))
        self.assertEqual({STATE.RANKED_LAST}, set(states.values()))

    def test_lost_capacity_restores_the_suspect_with_the_lowest_score(self):
        suspects = [
            suspect(0, 9.0, removed=True),
            suspect(1, 5.0, removed=True),
        ]
        states = ejection.decide(suspects, capacity(6, usable=IDS[:7]))
        expected = {"i0": STATE.EJECTED, "i1": STATE.RANKED_LAST}
        self.assertEqual(expected, states)

    @hypothesis.settings(max_examples=500, **builders.PROPERTIES)
    @hypothesis.given(SUSPECTS, CAPACITIES)
    def test_a_removal_never_violates_the_floor(
        self, suspects, known_capacity
    ):
        states = ejection.decide(suspects, known_capacity)
        newly_removed = {
            each.instance_id
            for each in suspects
            if not each.removed
            and states[each.instance_id] is not STATE.RANKED_LAST
        }
        if newly_removed:
            removed = {
                each
                for each, state in states.items()
                if state is not STATE.RANKED_LAST
            }
            remaining = (
                known_capacity.usable
                - known_capacity.removed_by_peers
                - removed
            )
            self.assertGreaterEqual(len(remaining), known_capacity.floor)

    @hypothesis.settings(max_examples=500, **builders.PROPERTIES)
    @hypothesis.given(SUSPECTS, CAPACITIES)
    def test_no_usable_instance_stays_removed_below_the_floor(
        self, suspects, known_capacity
    ):
        states = ejection.decide(suspects, known_capacity)
        removed = {
            each
            for each, state in states.items()
            if state is not STATE.RANKED_LAST
        }
        restored = {
            each.instance_id
            for each in suspects
            if each.removed and each.instance_id not in removed
        }
        remaining = (
            known_capacity.usable - known_capacity.removed_by_peers - removed
        ) | restored
        if len(remaining) < known_capacity.floor:
            self.assertEqual(set(), removed & known_capacity.usable)
