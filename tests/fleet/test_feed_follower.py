import random

import testtools
import trio

from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.fleet import observations
from tests.builders import feeds as builders

IP = "127.0.0.1"
FIRST = builders.whole(builders.routing(2, 1), builders.seen(3, 0))


class Vm:
    """A node with a feed of its own, and what its daemon was told."""

    def __init__(self, number, source, first_peers=()):
        self.changes = []
        self.observed = []
        hooks = node.Hooks(
            lambda document: None,
            observe=self.observed.append,
            on_change=lambda applied, told_by, now: self.changes.append(
                (applied, told_by)
            ),
        )
        identity = node.Identity(
            "fleet", f"vm-{number}", IP, 0, "a", 1_000 + number
        )
        self.node = node.Node(
            identity,
            first_peers,
            node.Platform(None, source=source),
            hooks,
            random.Random(number),
        )

    def ids(self):
        held = self.node.follower.mirror.discovered(trio.current_time())
        return sorted(each.instance.id for each in held)


async def until(condition, seconds=8.0):
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.02)


def run_two(check, second_fault=None):
    """Run two VMs; the second one's feed may be out of reach."""

    async def main():
        source = builders.FeedFake(FIRST)
        other = builders.FeedFake(FIRST)
        other.fault = second_fault
        first = Vm(1, source)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(first.node.run)
            second = Vm(2, other, (membership.Peer(IP, port),))
            await nursery.start(second.node.run)
            for vm in (first, second):
                await until(lambda vm=vm: vm.ids() == ["i-0"])
            await check(first, second, source, other)
            nursery.cancel_scope.cancel()

    trio.run(main)


class FeedFollowerTest(testtools.TestCase):
    def test_a_vm_that_the_feed_rejects_learns_from_its_peer(self):
        async def check(first, second, source, other):
            source.changes.append(builders.batch(3, builders.seen(4, 1)))
            started = trio.current_time()
            await until(lambda: second.ids() == ["i-0", "i-1"])
            self.assertLess(trio.current_time() - started, 1.0)
            self.assertEqual("vm-1", second.changes[-1][1])

        run_two(check, builders.UNREACHABLE)

    def test_a_removal_after_a_quiet_watch_takes_effect_at_once(self):
        """DRAIN on a hunted day of the Guild.

        A reader took the quiet time of its own watch for an outage and kept
        the removed instance for two seconds more.
        """

        async def check(first, second, source, other):
            await trio.sleep(1.3)
            source.changes.append(builders.batch(3, builders.removed(4, 0)))
            await until(lambda: first.ids() == [], 0.5)

        run_two(check, builders.UNREACHABLE)

    def test_a_large_change_is_pulled(self):
        async def check(first, second, source, other):
            items = [builders.seen(4 + n, 10 + n) for n in range(200)]
            source.changes.append(builders.batch(3, *items))
            await until(lambda: len(second.ids()) == 201)

        run_two(check, builders.UNREACHABLE)

    def test_a_forgotten_history_is_read_anew(self):
        async def check(first, second, source, other):
            source.whole = builders.whole(
                builders.routing(2, 1), builders.seen(9, 5)
            )
            other.whole = source.whole
            source.forgotten = True
            await until(lambda: first.ids() == ["i-5"])

        run_two(check, builders.UNREACHABLE)

    def test_a_feed_that_came_back_from_a_copy_is_read_by_a_reader(self):
        async def check(first, second, source, other):
            source.whole = builders.whole(
                builders.routing(2, 1), builders.seen(2, 7), epoch=1
            )
            source.forgotten = True
            # The instance that the copy lacks may write its entry again.
            await until(lambda: second.ids() == ["i-0", "i-7"])
            await until(lambda: second.ids() == ["i-7"])
            began = [
                each
                for each in second.observed
                if isinstance(each, observations.EpochBegan)
            ]
            self.assertEqual([(1, "vm-1")], [each[::2] for each in began])

        run_two(check, builders.UNREACHABLE)

    def test_a_vm_serves_only_once_it_said_so(self):
        async def check(first, second, source, other):
            states = first.node.membership
            self.assertTrue(second.node.membership.own.leaving)
            await second.node.announce_serving()
            await until(lambda: "vm-2" in states.usable_ids())

        run_two(check)

    def test_vms_hear_what_a_peer_has_seen(self):
        async def check(first, second, source, other):
            heard = []
            second.node._hooks = second.node._hooks._replace(
                on_sightings=heard.append
            )
            sighting = messages.Sighting(
                "reservations", "i-0", 7, messages.Seen.FAILED, 3
            )
            told = messages.Sightings((sighting,))
            await first.node.tell(told, ("vm-2", "vm-9"))
            await until(lambda: heard)
            self.assertEqual([told], heard)

        run_two(check)

    def test_a_watch_that_begins_and_ends_is_observed(self):
        async def check(first, second, source, other):
            await until(lambda: watches(first) == [True])
            source.fault = builders.UNREACHABLE
            await until(lambda: watches(first) == [True, False])

        run_two(check)

    def test_a_member_that_comes_and_goes_is_observed(self):
        async def check(first, second, source, other):
            # A VM is new to others before it takes callers.
            await until(lambda: states(first) == [("", "leaving")])
            await second.node.announce_serving()
            await until(lambda: ("leaving", "live") in states(first))
            await second.node.announce_gone()
            await until(lambda: ("live", "gone") in states(first))

        run_two(check)


def watches(vm):
    return [
        each.watching
        for each in vm.observed
        if isinstance(each, observations.WatchChanged)
    ]


def states(vm):
    return [
        (each.before, each.state)
        for each in vm.observed
        if isinstance(each, observations.MemberChanged)
    ]
