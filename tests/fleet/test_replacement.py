import random

import httpcore
import testtools
import trio

from primrosemill.proxy import daemon
from primrosemill.proxy import settings
from primrosemill.standins import instance
from tests.builders import configuration
from tests.builders import fleet as builders
from tests.builders import path as paths

VM_COUNT = 6
TEST_TIMEOUT = 60  # seconds; a hang ends as a failure.
ANSWER_LIFETIME = 0.2  # seconds
CALLER_COUNT = 6


class Fleet:
    """Daemons on loopback addresses that can be replaced one by one."""

    def __init__(self, store, nursery):
        self.store = store
        self.nursery = nursery
        self.peer_ports_by_number = {}
        self.caller_ports_by_number = {}
        self.vms_by_number = {}
        self.request_count = 0
        self.ended_by_vm = {}

    def ip(self, number):
        return f"127.0.3.{number + 1}"

    async def start(self, number):
        first_peers = tuple(
            f"{self.ip(other)}:{port}"
            for other, port in self.peer_ports_by_number.items()
            if other != number
        )
        vm = daemon.Daemon(
            settings.Settings(
                builders.FLEET,
                builders.vm_id(number),
                self.ip(number),
                builders.entry(number).domain,
                "",
                0,
                0,
                self.peer_ports_by_number.get(number, 0),
                first_peers,
                builders.SECRET,
            ),
            random.Random(number),
            self.store,
            answer_lifetime=ANSWER_LIFETIME,
        )
        ports = await self.nursery.start(self.run, vm)
        self.vms_by_number[number] = vm
        self.peer_ports_by_number[number] = ports.peer_port
        self.caller_ports_by_number[number] = ports.caller_port

    async def run(self, vm, *, task_status):
        self.ended_by_vm[vm] = trio.Event()
        await vm.run(task_status=task_status)
        self.ended_by_vm[vm].set()

    async def replace(self, number):
        """Stop a VM gracefully and start its replacement.

        New callers do not choose the VM in the meantime.
        """
        del self.caller_ports_by_number[number]
        vm = self.vms_by_number[number]
        await vm.stop("replaced")
        await self.ended_by_vm[vm].wait()
        await self.start(number)

    def view_sizes(self):
        return {
            len(vm.peers.node.membership.usable_ids())
            for vm in self.vms_by_number.values()
        }

    def versions(self):
        return {
            vm.peers.document.version for vm in self.vms_by_number.values()
        }


class ReplacementTest(testtools.TestCase):
    def test_all_vms_are_replaced_under_traffic_without_the_store(self):
        trio.run(self.replace_all)

    async def replace_all(self):
        self.statuses = []
        with trio.fail_after(TEST_TIMEOUT):
            async with trio.open_nursery() as nursery:
                backends = [
                    instance.InstanceStandin(f"res-{number}", 3, 0.02)
                    for number in range(4)
                ]
                addresses = await paths.start_standins(nursery, backends)
                store = builders.FakeStore()
                store.publish(published(addresses, 1))
                fleet = Fleet(store, nursery)
                for number in range(VM_COUNT):
                    await fleet.start(number)
                await wait_until(lambda: fleet.view_sizes() == {VM_COUNT})
                store.reachable = False
                async with trio.open_nursery() as calls:
                    for _ in range(CALLER_COUNT):
                        calls.start_soon(self.call_repeatedly, fleet)
                    for number in range(VM_COUNT):
                        await fleet.replace(number)
                        await wait_until(
                            lambda: fleet.view_sizes() == {VM_COUNT}
                        )
                    calls.cancel_scope.cancel()
                self.assertEqual({1}, fleet.versions())
                store.reachable = True
                store.publish(published(addresses, 2))
                await wait_until(lambda: fleet.versions() == {2})
                nursery.cancel_scope.cancel()
        self.assertGreater(len(self.statuses), 100)
        self.assertEqual({200}, set(self.statuses))

    async def call_repeatedly(self, fleet):
        generator = random.Random(fleet.request_count)
        while True:
            number = generator.choice(sorted(fleet.caller_ports_by_number))
            port = fleet.caller_ports_by_number[number]
            fleet.request_count += 1
            target = generator.choice(
                (paths.IDEMPOTENT_PATH, paths.NON_IDEMPOTENT_PATH)
            )
            with trio.CancelScope(shield=True):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        "GET",
                        f"http://{fleet.ip(number)}:{port}{target}",
                        headers={"x-request-id": f"r{fleet.request_count}"},
                    )
            self.statuses.append(response.status)
            await trio.sleep(0.01)


def published(addresses, version):
    instances = [
        configuration.instance_value(number, address=address)
        for number, address in enumerate(addresses)
    ]
    service = configuration.service_value(
        instances=instances, floor=1, routes=paths.route_values(5.0)
    )
    # All calls come from one caller, whose limit must not be reached.
    limit = {"rate": 10_000.0, "burst": 10_000}
    return configuration.published(
        service, version=version, default_limit=limit
    )


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.02)
