"""Plays a fleet whose readers of the feed are lost while it changes.

Guards against a VM that reaches the feed and does not know what it publishes,
as it relies on readers that are gone, or that have lost their own path
(review/11 and review/12).
"""

import random

import testtools
import trio

from primrosemill.decisions import feed_age
from primrosemill.fleet import feed_follower
from primrosemill.fleet import messages
from tests.builders import feed_fleets as builders

Trouble = builders.Trouble
# Half of the shortest bound on a change, and that bound.
MAX_DELAY = 1.0  # seconds
MAX_STORELESS_DELAY = 2.0  # seconds
READ_RATE = 2_000  # calls a second that the feed allows
WATCHED_TIME = 6.0  # seconds after a change
PAUSES = (0.0, 0.05, 0.3, 1.0)  # seconds between a trouble and the change
SEEDS = (1, 2)  # of each trouble and choice


def choose_all_but_one(world, vms):
    followers = [vm for vm in vms if not vm.is_reader]
    survivor = world.generator.choice(followers)
    return [vm for vm in vms if vm is not survivor]


def choose_readers(world, vms):
    return [vm for vm in vms if vm.is_reader]


def choose_half(world, vms):
    return world.generator.sample(vms, len(vms) // 2)


def choose_readers_of_one_domain(world, vms):
    domain = world.generator.choice(vms).domain
    return [vm for vm in vms if vm.is_reader and vm.domain == domain]


CHOICES = (
    choose_all_but_one,
    choose_readers,
    choose_half,
    choose_readers_of_one_domain,
)


async def play(world, vms, trouble, choose, pause):
    """Return how late each VM without trouble had the change, in seconds.

    The change is published some time after the trouble begins.
    """
    await trio.sleep(world.generator.uniform(0.0, feed_follower.WATCH_TIMEOUT))
    victims = choose(world, vms)
    for vm in victims:
        vm.suffer(trouble)
    await trio.sleep(pause)
    published_at = trio.current_time()
    version = world.publish()
    await trio.sleep(WATCHED_TIME)
    return [
        vm.applied_at_by_version.get(version, published_at + 99.0)
        - published_at
        for vm in vms
        if vm not in victims
    ]


class LostReadersTest(testtools.TestCase):
    def check(self, trouble, choose, seed, loss=0.0):
        pause = random.Random(seed).choice(PAUSES)

        async def check(world, vms):
            delays = await play(world, vms, trouble, choose, pause)
            return delays, world.busiest_second(0.0)

        delays, busiest = builders.run(check, seed, loss=loss)
        bound = MAX_DELAY
        if trouble is Trouble.STORELESS:
            bound = MAX_STORELESS_DELAY
        self.assertLess(max(delays), bound, (trouble, choose, seed, pause))
        self.assertLess(busiest, READ_RATE)

    def test_readers_that_are_lost_one_after_another(self):
        async def check(world, vms):
            late = []
            for _ in range(4):
                for vm in choose_readers(world, vms):
                    if vm.trouble is None:
                        vm.suffer(Trouble.KILLED)
                version = world.publish()
                await trio.sleep(MAX_DELAY)
                late += [
                    vm.id
                    for vm in vms
                    if vm.trouble is None
                    and vm.applied_at_by_version.get(version) is None
                ]
            return late

        self.assertEqual([], builders.run(check, 5))

    def test_lost_datagrams(self):
        for choose in CHOICES:
            self.check(Trouble.KILLED, choose, 7, loss=0.025)

    def test_the_feed_is_called_seldom_while_it_is_away(self):
        """All VMs lack news, and none may keep the feed from coming back."""

        async def check(world, vms):
            world.is_feed_away = True
            await trio.sleep(8.0)
            began = trio.current_time()
            await trio.sleep(8.0)
            away = world.count_calls(began, began + 8.0) / 8.0
            world.is_feed_away = False
            published_at = trio.current_time()
            version = world.publish()
            await trio.sleep(WATCHED_TIME)
            delays = [
                vm.applied_at_by_version[version] - published_at for vm in vms
            ]
            return away, max(delays)

        away, delay = builders.run(check, 4)
        # Each VM calls once in 2 to 4 s at most, for 1 s in vain.
        self.assertLess(away, 24 / 2.0)
        self.assertLess(delay, 4.0 + MAX_DELAY)


class RestTest(testtools.TestCase):
    def test_a_fleet_at_rest_calls_the_feed_as_its_readers_renew_watches(self):
        async def check(world, vms):
            began = trio.current_time()
            sent = world.sent_by_kind.copy()
            await trio.sleep(10.0)
            ages = [vm.node.follower.age.age() for vm in vms]
            lost = [vm.id for vm in vms if vm.node.follower.age.is_lost]
            questions = (
                world.sent_by_kind[messages.Kind.FEED_QUERY]
                - sent[messages.Kind.FEED_QUERY]
            )
            calls = world.count_calls(began, began + 10.0)
            return ages, lost, questions, calls

        ages, lost, questions, calls = builders.run(check, 1)
        self.assertEqual([], lost)
        # Two readers in each of three domains.
        self.assertLessEqual(calls, 6 * 10.0 / feed_follower.WATCH_TIMEOUT + 6)
        # Each other VM asks after each interval, and as a watch is renewed.
        rate = 1 / feed_age.QUESTION_INTERVAL + 1 / feed_follower.WATCH_TIMEOUT
        self.assertLess(questions, 18 * (10.0 * rate + 1))
        oldest = 2 * feed_follower.WATCH_TIMEOUT + feed_age.QUESTION_INTERVAL
        self.assertLess(max(ages), oldest)


class TruthTest(testtools.TestCase):
    def test_no_vm_knows_the_feed_as_of_a_later_time_than_is_true(self):
        """A change that a VM lacks is newer than what it claims to know."""

        async def check(world, vms):
            wrong = []
            for _ in range(40):
                victim = world.generator.choice(vms)
                trouble = world.generator.choice(list(Trouble))
                if trouble is not Trouble.KILLED:
                    victim.suffer(trouble)
                version = world.publish()
                published_at = trio.current_time()
                for _ in range(10):
                    await trio.sleep(0.05)
                    now = trio.current_time()
                    wrong += [
                        vm.id
                        for vm in vms
                        if vm.version < version
                        and now - vm.node.follower.age.age() > published_at
                    ]
                victim.suffer(None)
            return wrong

        self.assertEqual([], builders.run(check, 3, vm_count=9))


def _add_test(trouble, choose):
    def test(self):
        for seed in SEEDS:
            self.check(trouble, choose, seed)

    victims = choose.__name__.removeprefix("choose_")
    test.__name__ = f"test_{victims}_{trouble}"
    setattr(LostReadersTest, test.__name__, test)


for each_trouble in Trouble:
    for each_choice in CHOICES:
        _add_test(each_trouble, each_choice)
