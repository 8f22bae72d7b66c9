"""VMs of this build beside VMs of builds before customers.

Guards against an old VM that stays on an earlier configuration, as it cannot
decode what new VMs send, and against a new VM that needs no keys, as it took
the configuration from an old VM, which drops the customers.
"""

import random

import testtools
import trio

from primrosemill.configuration import document as documents
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.fleet import peer_builds
from primrosemill.fleet import trimmed_encoding
from primrosemill.fleet import wire
from tests.builders import feeds
from tests.builders import fleet as builders
from tests.builders import old_builds

from primrosemill.decisions.customers import cap_messages

IP = "127.0.0.1"
CUSTOMERS = (documents.Customer("c", ("key",), 1, 10.0, 10.0),)
NEW_MESSAGES = (
    messages.FreshnessQuery(7, 0, 3),
    messages.FreshnessAnswer(7, 0, 3, 120),
    messages.CapRequest(0, (), ()),
    messages.CapRequest(7, (cap_messages.Ask(9, 2),), (9,)),
    messages.CapGrant(
        7, (cap_messages.Grant(9, 2, 400, 0),), (cap_messages.Vouch(9, 10),)
    ),
    messages.Room((messages.ServiceRoom("s", "d0", True, 1, ()),)),
    messages.Starts((messages.Start("s", "i-0", 1, 0),)),
    messages.FeedQuery(7, 0, 3),
    messages.FeedAnswer(7, 0, 3, 120, 1_300),
)


def routing(revision, version, customers=CUSTOMERS):
    item = feeds.routing(revision, version)
    return item._replace(routing=item.routing._replace(customers=customers))


FIRST = feeds.whole(routing(2, 1), feeds.added(3, 0))
CHANGE = feeds.batch(3, routing(4, 2), feeds.added(5, 1))


class Vm:
    """A VM with its own feed."""

    def __init__(self, number, source, node_type, first_peers=()):
        self.node = node_type(
            node.Identity("fleet", f"vm-{number}", IP, 0, "a", 1_000 + number),
            first_peers,
            node.Platform(None, feed_source=source),
            node.Hooks(lambda document: None),
            random.Random(number),
        )

    @property
    def routing(self):
        return self.node.follower.mirror.routing

    def instance_count(self):
        now = trio.current_time()
        return len(self.node.follower.mirror.discovered(now))

    async def wait_for_version(self, version):
        with trio.fail_after(8.0):
            while self.routing is None or self.routing.version < version:
                await trio.sleep(0.02)


def run_two(check, first_type, second_type, second_fault=None):
    """Run two VMs; the second one's feed may fail."""

    async def main():
        source, other = feeds.FakeFeed(FIRST), feeds.FakeFeed(FIRST)
        other.fault = second_fault
        first = Vm(1, source, first_type)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(first.node.run)
            await first.wait_for_version(1)
            peers = (membership.Peer(IP, port),)
            second = Vm(2, other, second_type, peers)
            await nursery.start(second.node.run)
            await check(first, second, source, other)
            nursery.cancel_scope.cancel()

    trio.run(main)


class MessagesTest(testtools.TestCase):
    def test_an_old_vm_drops_each_new_message_and_reads_the_next(self):
        sealer = builders.sealer()
        key = wire.derive_key(builders.SECRET)
        opener = old_builds.Opener(builders.FLEET, builders.vm_id(0), key)
        for message in NEW_MESSAGES:
            result = opener.open(sealer.seal(message))
            self.assertEqual(wire.RefusalReason.MALFORMED, result.error)
            self.assertTrue(opener.open(sealer.seal(builders.ping())).is_ok())
        kinds = {messages.KINDS_BY_TYPE[type(each)] for each in NEW_MESSAGES}
        self.assertEqual(
            set(), set(messages.Kind) - set(old_builds.Kind) - kinds
        )

    def test_an_old_vm_reads_heartbeats_that_tell_the_build(self):
        version = messages.VersionInForce(3, peer_builds.KNOWS_CUSTOMERS)
        data = builders.sealer().seal(builders.ping(version=version))
        self.assertTrue(old_builds.is_decoded(data))

    def test_an_old_vm_cannot_decode_customers(self):
        # Therefore they are not pushed to it.
        changes = messages.Changes(trimmed_encoding.trim_batch(CHANGE))
        data = builders.sealer().seal(changes)
        self.assertFalse(old_builds.is_decoded(data))
        reduced = trimmed_encoding.reduce_batch(CHANGE)
        changes = messages.Changes(trimmed_encoding.trim_batch(reduced))
        data = builders.sealer().seal(changes)
        self.assertTrue(old_builds.is_decoded(data))


class PeerBuildsTest(testtools.TestCase):
    def test_a_build_is_known_for_one_process_only(self):
        # A VM that goes back to the old build keeps its id.
        known = peer_builds.PeerBuilds()
        self.assertFalse(known.knows_customers("vm-1", 5))
        known.record("vm-1", 5, peer_builds.KNOWS_CUSTOMERS)
        self.assertTrue(known.knows_customers("vm-1", 5))
        self.assertFalse(known.knows_customers("vm-1", 6))
        known.record("vm-1", 6, b"")
        self.assertFalse(known.knows_customers("vm-1", 6))


class SpreadTest(testtools.TestCase):
    def test_an_old_vm_gets_versions_with_customers_from_a_new_one(self):
        async def check(first, second, source, other):
            await second.wait_for_version(1)
            await trio.sleep(0.5)
            source.changes.append(CHANGE)
            started = trio.current_time()
            await second.wait_for_version(2)
            self.assertLess(trio.current_time() - started, 2.0)
            self.assertEqual(2, second.instance_count())
            self.assertIsNone(second.routing.customers)
            self.assertEqual(0, second.node.opener.refused)

        run_two(check, node.Node, old_builds.Node, feeds.UNREACHABLE)

    def test_a_new_vm_gets_versions_with_customers_from_a_new_one(self):
        async def check(first, second, source, other):
            await second.wait_for_version(1)
            source.changes.append(CHANGE)
            started = trio.current_time()
            await second.wait_for_version(2)
            self.assertLess(trio.current_time() - started, 1.0)
            self.assertEqual(CUSTOMERS, second.routing.customers)

        run_two(check, node.Node, node.Node, feeds.UNREACHABLE)

    def test_a_new_vm_takes_no_configuration_from_an_old_one(self):
        async def check(first, second, source, other):
            await trio.sleep(1.5)
            self.assertIsNone(second.routing)
            self.assertEqual(1, second.instance_count())
            other.fault = None
            await second.wait_for_version(1)
            self.assertEqual(CUSTOMERS, second.routing.customers)

        run_two(check, old_builds.Node, node.Node, feeds.UNREACHABLE)

    def test_a_new_vm_beside_old_readers_reads_the_feed_itself(self):
        async def check(first, second, source, other):
            started = trio.current_time()
            await second.wait_for_version(1)
            self.assertLess(trio.current_time() - started, 1.0)
            source.changes.append(CHANGE)
            other.changes.append(CHANGE)
            started = trio.current_time()
            await second.wait_for_version(2)
            self.assertLess(trio.current_time() - started, 1.0)
            self.assertEqual(CUSTOMERS, second.routing.customers)

        run_two(check, old_builds.Node, node.Node)

    def test_a_version_told_by_an_old_vm_never_replaces_customers(self):
        async def check(first, second, source, other):
            await second.wait_for_version(1)
            other.fault = feeds.UNREACHABLE
            await trio.sleep(0.5)
            source.changes.append(CHANGE)
            await trio.sleep(1.5)
            self.assertEqual(CUSTOMERS, second.routing.customers)
            self.assertEqual(1, second.routing.version)
            self.assertEqual(2, second.instance_count())

        run_two(check, old_builds.Node, node.Node)
