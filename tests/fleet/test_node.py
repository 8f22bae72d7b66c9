import random
import socket

import msgspec
import testtools
import trio

from primrosemill.configuration import faults
from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import node
from primrosemill.fleet import observations
from primrosemill.fleet import spread
from primrosemill.fleet import wire
from tests.builders import configuration
from tests.builders import fleet as builders

IP = "127.0.0.1"
LIMIT = 20  # seconds; a hang ends as a failure.


class RunningVm:
    """A node on a loopback address and what it met."""

    def __init__(self, number, store, peers=(), homes=None, **identity):
        self.observed = []
        self.versions = []
        self.scope = trio.CancelScope()
        made = node.Identity(
            builders.FLEET,
            builders.vm_id(number),
            IP,
            0,
            builders.entry(number).domain,
            number + 1,
            builders.SECRET,
        )
        hooks = node.Hooks(
            lambda document: self.versions.append(document.version),
            homes or dict,
            self.observed.append,
        )
        self.node = node.Node(
            made._replace(**identity),
            tuple(peers),
            node.Platform(store),
            hooks,
            random.Random(number),
        )

    async def run(self, *, task_status):
        with self.scope:
            await self.node.run(task_status=task_status)

    async def start(self, nursery):
        port = await nursery.start(self.run)
        self.peer = membership.Peer(IP, port)
        return self

    def met(self, form):
        return [each for each in self.observed if isinstance(each, form)]


async def until(condition):
    while not condition():
        await trio.sleep(0.02)


class NodeTest(testtools.TestCase):
    def run_with(self, check):
        async def run():
            self.store = builders.FakeStore()
            self.store.publish(configuration.published(version=1))
            with trio.fail_after(LIMIT):
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    await check()
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def start(self, number, store=None, peers=(), **options):
        vm = RunningVm(number, store or self.store, peers, **options)
        return await vm.start(self.nursery)

    async def start_fleet(self, count, stores=None):
        vms = [await self.start(0, (stores or [self.store])[0])]
        for number in range(1, count):
            store = self.store if stores is None else stores[number]
            vms.append(await self.start(number, store, [vms[0].peer]))
        for vm in vms:
            await vm.node.wait_until_in_force()
        return vms

    async def wait_for_version(self, vms, version):
        for vm in vms:
            await until(lambda vm=vm: vm.versions[-1:] == [version])

    def down(self):
        store = builders.FakeStore()
        store.reachable = False
        return store

    def test_a_change_reaches_vms_that_the_store_does_not(self):
        async def check():
            stores = [self.store, *(self.down() for _ in range(9))]
            vms = await self.start_fleet(10, stores)
            self.store.publish(configuration.published(version=2))
            await self.wait_for_version(vms, 2)
            for vm in vms:
                self.assertEqual([1, 2], vm.versions)

        self.run_with(check)

    def test_a_vm_started_while_the_store_is_down_learns_from_peers(self):
        async def check():
            vms = await self.start_fleet(3)
            self.store.reachable = False
            late = await self.start(5, self.down(), [vms[1].peer])
            await late.node.wait_until_in_force()
            self.assertEqual([1], late.versions)
            await until(lambda: len(late.node.membership.usable_ids()) == 4)

        self.run_with(check)

    def test_a_vm_is_not_ready_before_store_or_peers_answer(self):
        async def check():
            store = self.down()
            vm = await self.start(0, store)
            await until(lambda: vm.met(observations.StoreFailed))
            self.assertFalse(vm.node.follower.in_force.is_set())
            store.publish(configuration.published(version=1))
            store.reachable = True
            await vm.node.wait_until_in_force()

        self.run_with(check)

    def test_a_start_prefers_its_peers_to_a_stale_store(self):
        async def check():
            self.store.publish(configuration.published(version=7))
            vms = await self.start_fleet(2)
            stale = builders.FakeStore()
            stale.publish(configuration.published(version=3))
            late = await self.start(5, stale, [vms[0].peer])
            await late.node.wait_until_in_force()
            self.assertEqual([7], late.versions)

        self.run_with(check)

    def test_a_store_that_falls_back_changes_nothing(self):
        async def check():
            self.store.publish(configuration.published(version=7))
            vm = (await self.start_fleet(1))[0]
            self.store.publish(configuration.published(version=3))
            await until(lambda: vm.met(observations.VersionRefused))
            refused = vm.met(observations.VersionRefused)[0]
            self.assertEqual((faults.OlderVersion(7, 3),), refused.faults)
            self.assertEqual([7], vm.versions)
            self.assertFalse(vm.node.membership.own.watching)

        self.run_with(check)

    def test_bad_documents_are_reported_and_the_next_good_one_taken(self):
        async def check():
            vms = await self.start_fleet(2)
            floor = configuration.service_value(floor=30, revision=2)
            for bad in (
                configuration.published(floor, version=2),
                {"index": b"{"},
                {"index": b" " * 1_000_001},
            ):
                for vm in vms:
                    vm.observed.clear()
                self.store.publish(bad)
                await until(lambda: vms[0].met(observations.VersionRefused))
            self.assertEqual([1], vms[1].versions)
            self.store.publish(configuration.published(version=3))
            await self.wait_for_version(vms, 3)

        self.run_with(check)

    def test_two_contents_under_one_version_are_seen_by_both(self):
        async def check():
            other = builders.FakeStore()
            domains = ["more", *configuration.DOMAINS]
            other.publish(configuration.published(version=1, domains=domains))
            first = await self.start(0)
            await first.node.wait_until_in_force()
            second = await self.start(1, other)
            await second.node.wait_until_in_force()
            second.node.membership.set_listed(
                [membership.ListedPeer("vm-0", first.peer, False)]
            )
            for vm in (first, second):
                await until(lambda vm=vm: vm.met(observations.VersionConflict))
            self.store.publish(configuration.published(version=2))
            await self.wait_for_version([first, second], 2)

        self.run_with(check)

    def test_values_up_to_the_limit_travel_between_vms(self):
        async def check():
            limits = {
                f"caller-{number:05d}-{'x' * 30}": {"rate": 1.0, "burst": 1}
                for number in range(14_000)
            }
            published = configuration.published_with_limits(limits, version=2)
            largest = max(len(value) for value in published.values())
            self.assertGreater(largest, 900_000)
            self.store.publish(published)
            first = (await self.start_fleet(1))[0]
            late = await self.start(1, self.down(), [first.peer])
            await late.node.wait_until_in_force()
            document = late.node.document()
            self.assertEqual(14_000, len(document.limits_by_caller))
            sources = {
                each.source for each in late.met(observations.VersionAccepted)
            }
            self.assertEqual({spread.Source.PEER}, sources)

        self.run_with(check)

    def test_garbage_on_both_sockets_is_counted_and_harmless(self):
        async def check():
            vms = await self.start_fleet(2)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for size in (0, 1, 40, 1_400, 9_000):
                    sender.sendto(b"\x01" * size, vms[0].peer)
            with socket.create_connection(vms[0].peer) as stream:
                stream.sendall(b"GET / HTTP/1.1\r\n\r\n" * 10)
                expected = {
                    wire.RefusalReason.TOO_SHORT,
                    wire.RefusalReason.WRONG_TAG,
                    wire.RefusalReason.TOO_LARGE,
                }
                await until(
                    lambda: (
                        expected
                        <= {
                            each.reason
                            for each in vms[0].met(observations.MessageRefused)
                        }
                    )
                )
            self.store.publish(configuration.published(version=2))
            await self.wait_for_version(vms, 2)

        self.run_with(check)

    def test_a_vm_with_another_key_stays_outside(self):
        async def check():
            vms = await self.start_fleet(2)
            stranger = await self.start(
                5, self.down(), [vms[0].peer], secret=b"other"
            )
            await until(lambda: vms[0].met(observations.MessageRefused))
            self.assertEqual(["vm-5"], stranger.node.membership.usable_ids())
            self.assertEqual(
                members.State.GONE, vms[0].node.membership.state_of("vm-5")
            )

        self.run_with(check)

    def test_evidence_and_drain_signs_reach_the_other_home(self):
        async def check():
            homes_by_number = [{"reservations": ["vm-1"]}, {}]
            first = await self.start(0, homes=lambda: homes_by_number[0])
            second = await self.start(1, peers=[first.peer])
            for vm in (first, second):
                await until(
                    lambda vm=vm: len(vm.node.membership.usable_ids()) == 2
                )
            draining = builders.instance_evidence(4, draining=True)
            report = builders.report(draining, number=0)
            first.node.put_report(report)
            await until(lambda: second.node.reports("reservations"))
            self.assertEqual([report], second.node.reports("reservations"))
            await first.node.announce_gone()
            await until(lambda: not second.node.reports("reservations"))

        self.run_with(check)

    def test_a_stopped_vm_frees_its_port_for_the_next(self):
        async def check():
            vms = await self.start_fleet(2)
            vms[1].scope.cancel()
            await trio.sleep(0.05)
            later = await self.start(
                1,
                self.down(),
                [vms[0].peer],
                port=vms[1].peer.port,
                incarnation=100,
            )
            await later.node.wait_until_in_force()
            view = vms[0].node.membership
            await until(
                lambda: (
                    view.table.members_by_id["vm-1"].entry.incarnation == 100
                )
            )

        self.run_with(check)


class EncodingTest(testtools.TestCase):
    def test_an_index_of_the_target_size_is_below_a_megabyte(self):
        services = {
            f"service-{number:03d}": {"revision": 99, "digest": "0" * 32}
            for number in range(500)
        }
        index = configuration.published(services_by_name=services)["index"]
        self.assertLess(len(index), 100_000)
        self.assertEqual(
            500, len(msgspec.json.decode(index)["services_by_name"])
        )
