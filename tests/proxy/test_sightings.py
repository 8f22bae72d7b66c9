import random

import testtools
import trio

from primrosemill.decisions import belief as beliefs
from primrosemill.fleet import messages
from primrosemill.proxy import alarm
from primrosemill.proxy import balancing
from primrosemill.proxy import learned
from tests.builders import decisions_routing as builders

SERVICE = "reservations"
DOMAIN = builders.DOMAINS[0]
ID = "res-0"


def sighting(seen=messages.Seen.FAILED, **changes):
    made = messages.Sighting(SERVICE, ID, 7, seen, 10)
    return made._replace(**changes)


class SightingsTest(testtools.TestCase):
    """A VM takes what its peers have seen of instances."""

    def hear(self, *sightings):
        """Return the chance of the instance then, and what was learned."""
        heard = []

        async def main():
            listeners = learned.Listeners(
                heard.append, lambda departure: None, lambda pause: None, None
            )
            made = balancing.Balancers(DOMAIN, random.Random(1), listeners)
            service = builders.service(
                instances=(builders.instance(0, boot=7),)
            )
            balancer = made.make(service, alarm.Alarm())
            for each in sightings:
                made.take_sightings(messages.Sightings((each,)))
            now = trio.current_time()
            return balancer.balance.belief.chance(ID, now)

        return trio.run(main), heard

    def test_a_failure_lowers_the_chance(self):
        chance, (changed,) = self.hear(sighting())
        self.assertLess(chance, beliefs.DOUBTED_BELOW)
        self.assertTrue(changed.failed)
        self.assertFalse(changed.shared)
        self.assertEqual(learned.PEER, changed.cause)

    def test_a_good_answer_raises_it(self):
        before, _ = self.hear()
        after, _ = self.hear(sighting(messages.Seen.GOOD))
        self.assertGreater(after, before)

    def test_of_an_instance_that_is_not_known_nothing_is_learned(self):
        for changes in (
            {"service": "other"},
            {"instance_id": "other"},
            {"boot": 8},
        ):
            _, heard = self.hear(sighting(**changes))
            self.assertEqual([], heard)

    def test_a_failure_told_twice_as_late_counts_the_same(self):
        first, _ = self.hear(sighting(age=0))
        late, _ = self.hear(sighting(age=300))
        self.assertTrue(abs(first - late) < 0.1, (first, late))
