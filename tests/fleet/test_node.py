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
from primrosemill.fleet import version_tracker
from primrosemill.fleet import wire
from tests.builders import configuration
from tests.builders import fleet as builders

IP = "127.0.0.1"
TEST_TIMEOUT = 20  # seconds; a hang ends as a failure.


class RunningVm:
    """A node on a loopback address, with what it reported."""

    def __init__(self, number, store, peers=(), homes=None, **identity):
        self.observed = []
        self.versions = []
        self.scope = trio.CancelScope()
        own_identity = node.Identity(
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
            own_identity._replace(**identity),
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

    def observations_of(self, observation_type):
        return [
            each
            for each in self.observed
            if isinstance(each, observation_type)
        ]


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.02)


class NodeTest(testtools.TestCase):
    def run_with(self, check):
        async def run():
            self.store = builders.FakeStore()
            self.store.publish(configuration.published(version=1))
            with trio.fail_after(TEST_TIMEOUT):
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
            await wait_until(lambda vm=vm: vm.versions[-1:] == [version])

    def unreachable_store(self):
        store = builders.FakeStore()
        store.reachable = False
        return store

    def test_vms_that_cannot_reach_the_store_get_a_change_from_peers(self):
        async def check():
            stores = [
                self.store,
                *(self.unreachable_store() for _ in range(9)),
            ]
            vms = await self.start_fleet(10, stores)
            self.store.publish(configuration.published(version=2))
            await self.wait_for_version(vms, 2)
            for vm in vms:
                self.assertEqual([1, 2], vm.versions)

        self.run_with(check)

    def test_a_vm_started_during_a_store_outage_learns_from_peers(self):
        async def check():
            vms = await self.start_fleet(3)
            self.store.reachable = False
            late = await self.start(5, self.unreachable_store(), [vms[1].peer])
            await late.node.wait_until_in_force()
            self.assertEqual([1], late.versions)
            await wait_until(
                lambda: len(late.node.membership.usable_ids()) == 4
            )

        self.run_with(check)

    def test_a_vm_has_no_configuration_before_store_or_peers_answer(self):
        async def check():
            store = self.unreachable_store()
            vm = await self.start(0, store)
            await wait_until(
                lambda: vm.observations_of(observations.StoreFailed)
            )
            self.assertFalse(vm.node.follower.in_force.is_set())
            store.publish(configuration.published(version=1))
            store.reachable = True
            await vm.node.wait_until_in_force()

        self.run_with(check)

    def test_a_starting_vm_prefers_peers_to_a_stale_store(self):
        async def check():
            self.store.publish(configuration.published(version=7))
            vms = await self.start_fleet(2)
            stale = builders.FakeStore()
            stale.publish(configuration.published(version=3))
            late = await self.start(5, stale, [vms[0].peer])
            await late.node.wait_until_in_force()
            self.assertEqual([7], late.versions)

        self.run_with(check)

    def test_an_older_version_in_the_store_is_refused(self):
        async def check():
            self.store.publish(configuration.published(version=7))
            vm = (await self.start_fleet(1))[0]
            self.store.publish(configuration.published(version=3))
            await wait_until(
                lambda: vm.observations_of(observations.VersionRefused)
            )
            refused = vm.observations_of(observations.VersionRefused)[0]
            self.assertEqual((faults.OlderVersion(7, 3),), refused.faults)
            self.assertEqual([7], vm.versions)
            self.assertFalse(vm.node.membership.own.watching)

        self.run_with(check)

    def test_invalid_documents_are_refused_and_the_next_valid_one_taken(self):
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
                await wait_until(
                    lambda: vms[0].observations_of(observations.VersionRefused)
                )
            self.assertEqual([1], vms[1].versions)
            self.store.publish(configuration.published(version=3))
            await self.wait_for_version(vms, 3)

        self.run_with(check)

    def test_both_vms_report_different_content_under_one_version(self):
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
                await wait_until(
                    lambda vm=vm: vm.observations_of(
                        observations.VersionConflict
                    )
                )
            self.store.publish(configuration.published(version=2))
            await self.wait_for_version([first, second], 2)

        self.run_with(check)

    def test_a_value_near_the_size_limit_is_pulled_from_a_peer(self):
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
            late = await self.start(1, self.unreachable_store(), [first.peer])
            await late.node.wait_until_in_force()
            document = late.node.document()
            self.assertEqual(14_000, len(document.limits_by_caller))
            sources = {
                each.source
                for each in late.observations_of(observations.VersionAccepted)
            }
            self.assertEqual({version_tracker.Source.PEER}, sources)

        self.run_with(check)

    def test_garbage_on_both_sockets_is_refused_and_does_no_harm(self):
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
                await wait_until(
                    lambda: (
                        expected
                        <= {
                            each.reason
                            for each in vms[0].observations_of(
                                observations.MessageRefused
                            )
                        }
                    )
                )
            self.store.publish(configuration.published(version=2))
            await self.wait_for_version(vms, 2)

        self.run_with(check)

    def test_a_vm_with_another_key_cannot_join(self):
        async def check():
            vms = await self.start_fleet(2)
            outsider = await self.start(
                5, self.unreachable_store(), [vms[0].peer], secret=b"other"
            )
            await wait_until(
                lambda: vms[0].observations_of(observations.MessageRefused)
            )
            self.assertEqual(["vm-5"], outsider.node.membership.usable_ids())
            self.assertEqual(
                members.State.GONE, vms[0].node.membership.state_of("vm-5")
            )

        self.run_with(check)

    def test_evidence_of_a_draining_instance_reaches_the_other_home_vm(self):
        async def check():
            homes_by_number = [{"reservations": ["vm-1"]}, {}]
            first = await self.start(0, homes=lambda: homes_by_number[0])
            second = await self.start(1, peers=[first.peer])
            for vm in (first, second):
                await wait_until(
                    lambda vm=vm: len(vm.node.membership.usable_ids()) == 2
                )
            draining = builders.instance_evidence(4, draining=True)
            report = builders.report(draining, number=0)
            first.node.put_report(report)
            await wait_until(lambda: second.node.reports("reservations"))
            self.assertEqual([report], second.node.reports("reservations"))
            await first.node.announce_gone()
            await wait_until(lambda: not second.node.reports("reservations"))

        self.run_with(check)

    def test_a_new_process_takes_the_port_of_a_stopped_one(self):
        async def check():
            vms = await self.start_fleet(2)
            vms[1].scope.cancel()
            await trio.sleep(0.05)
            later = await self.start(
                1,
                self.unreachable_store(),
                [vms[0].peer],
                port=vms[1].peer.port,
                incarnation=100,
            )
            await later.node.wait_until_in_force()
            view = vms[0].node.membership
            await wait_until(
                lambda: (
                    view.table.members_by_id["vm-1"].entry.incarnation == 100
                )
            )

        self.run_with(check)


class EncodingTest(testtools.TestCase):
    def test_an_index_of_500_services_is_below_100_kilobytes(self):
        services = {
            f"service-{number:03d}": {"revision": 99, "digest": "0" * 32}
            for number in range(500)
        }
        index = configuration.published(services_by_name=services)["index"]
        self.assertLess(len(index), 100_000)
        self.assertEqual(
            500, len(msgspec.json.decode(index)["services_by_name"])
        )
