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


def suspect(number, score=9.0, out=False):
    return ejection.Suspect(IDS[number], score, STATE.EJECTED, out)


def capacity(floor, usable=IDS, elsewhere=()):
    return ejection.Capacity(frozenset(usable), frozenset(elsewhere), floor)


class EjectionTest(testtools.TestCase):
    def test_above_the_floor_a_suspect_goes_out(self):
        states = ejection.decide([suspect(0)], capacity(7))
        self.assertEqual({"i0": STATE.EJECTED}, states)

    def test_at_the_floor_it_is_ranked_last(self):
        states = ejection.decide([suspect(0)], capacity(8))
        self.assertEqual({"i0": STATE.RANKED_LAST}, states)

    def test_what_a_peer_has_out_counts_as_out(self):
        states = ejection.decide([suspect(0)], capacity(7, elsewhere=["i5"]))
        self.assertEqual({"i0": STATE.RANKED_LAST}, states)

    def test_what_is_not_usable_counts_as_out(self):
        states = ejection.decide([suspect(0)], capacity(7, usable=IDS[:7]))
        self.assertEqual({"i0": STATE.RANKED_LAST}, states)

    def test_other_suspects_are_no_healthy_capacity(self):
        states = ejection.decide([suspect(0), suspect(1)], capacity(7))
        self.assertEqual({STATE.RANKED_LAST}, set(states.values()))

    def test_lost_capacity_calls_the_least_suspect_back(self):
        suspects = [suspect(0, 9.0, out=True), suspect(1, 5.0, out=True)]
        states = ejection.decide(suspects, capacity(6, usable=IDS[:7]))
        expected = {"i0": STATE.EJECTED, "i1": STATE.RANKED_LAST}
        self.assertEqual(expected, states)

    @hypothesis.settings(max_examples=500, **builders.PROPERTIES)
    @hypothesis.given(SUSPECTS, CAPACITIES)
    def test_taking_out_never_goes_below_the_floor(self, suspects, known):
        states = ejection.decide(suspects, known)
        newly_out = {
            each.instance_id
            for each in suspects
            if not each.out
            and states[each.instance_id] is not STATE.RANKED_LAST
        }
        if newly_out:
            out = {
                each
                for each, state in states.items()
                if state is not STATE.RANKED_LAST
            }
            kept = known.usable - known.out_elsewhere - out
            self.assertGreaterEqual(len(kept), known.floor)

    @hypothesis.settings(max_examples=500, **builders.PROPERTIES)
    @hypothesis.given(SUSPECTS, CAPACITIES)
    def test_below_the_floor_nothing_usable_stays_out(self, suspects, known):
        states = ejection.decide(suspects, known)
        out = {
            each
            for each, state in states.items()
            if state is not STATE.RANKED_LAST
        }
        called_back = {
            each.instance_id
            for each in suspects
            if each.out and each.instance_id not in out
        }
        kept = (known.usable - known.out_elsewhere - out) | called_back
        if len(kept) < known.floor:
            self.assertEqual(set(), out & known.usable)
