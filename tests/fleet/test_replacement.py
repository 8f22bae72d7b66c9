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

COUNT = 6
LIMIT = 60  # seconds; a hang ends as a failure.
LIFETIME = 0.2  # seconds
CALLERS = 6


class Fleet:
    """Daemons on loopback addresses, each replaced in its place."""

    def __init__(self, store, nursery):
        self.store = store
        self.nursery = nursery
        self.peer_ports = {}
        self.caller_ports = {}
        self.vms = {}
        self.tags = 0
        self.ended = {}

    def ip(self, number):
        return f"127.0.3.{number + 1}"

    async def start(self, number):
        first = tuple(
            f"{self.ip(other)}:{port}"
            for other, port in self.peer_ports.items()
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
                self.peer_ports.get(number, 0),
                first,
                builders.SECRET,
            ),
            random.Random(number),
            self.store,
            answer_lifetime=LIFETIME,
        )
        ports = await self.nursery.start(self.run, vm)
        self.vms[number] = vm
        self.peer_ports[number] = ports.peer_port
        self.caller_ports[number] = ports.caller_port

    async def run(self, vm, *, task_status):
        self.ended[vm] = trio.Event()
        await vm.run(task_status=task_status)
        self.ended[vm].set()

    async def replace(self, number):
        """Stop a VM gracefully; it is named to no new caller meanwhile."""
        del self.caller_ports[number]
        vm = self.vms[number]
        await vm.stop("replaced")
        await self.ended[vm].wait()
        await self.start(number)

    def view_sizes(self):
        return {
            len(vm.peers.node.membership.usable_ids())
            for vm in self.vms.values()
        }

    def versions(self):
        return {vm.peers.document.version for vm in self.vms.values()}


class ReplacementTest(testtools.TestCase):
    def test_all_vms_are_replaced_under_traffic_without_the_store(self):
        trio.run(self.replace_all)

    async def replace_all(self):
        self.statuses = []
        with trio.fail_after(LIMIT):
            async with trio.open_nursery() as nursery:
                backends = [
                    instance.InstanceStandin(f"res-{number}", 3, 0.02)
                    for number in range(4)
                ]
                addresses = await paths.start_standins(nursery, backends)
                store = builders.FakeStore()
                store.publish(published(addresses, 1))
                fleet = Fleet(store, nursery)
                for number in range(COUNT):
                    await fleet.start(number)
                await until(lambda: fleet.view_sizes() == {COUNT})
                store.reachable = False
                async with trio.open_nursery() as calls:
                    for _ in range(CALLERS):
                        calls.start_soon(self.call_often, fleet)
                    for number in range(COUNT):
                        await fleet.replace(number)
                        await until(lambda: fleet.view_sizes() == {COUNT})
                    calls.cancel_scope.cancel()
                self.assertEqual({1}, fleet.versions())
                store.reachable = True
                store.publish(published(addresses, 2))
                await until(lambda: fleet.versions() == {2})
                nursery.cancel_scope.cancel()
        self.assertGreater(len(self.statuses), 100)
        self.assertEqual({200}, set(self.statuses))

    async def call_often(self, fleet):
        generator = random.Random(fleet.tags)
        while True:
            number = generator.choice(sorted(fleet.caller_ports))
            port = fleet.caller_ports[number]
            fleet.tags += 1
            target = generator.choice((paths.IDEMPOTENT_PATH, paths.ONCE_PATH))
            with trio.CancelScope(shield=True):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        "GET",
                        f"http://{fleet.ip(number)}:{port}{target}",
                        headers={"x-request-id": f"r{fleet.tags}"},
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
    # All calls come from one caller, whose limit is not the matter here.
    limit = {"rate": 10_000.0, "burst": 10_000}
    return configuration.published(
        service, version=version, default_limit=limit
    )


async def until(condition):
    while not condition():
        await trio.sleep(0.02)
