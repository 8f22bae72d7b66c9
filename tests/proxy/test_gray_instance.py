import testtools
import trio

from primrosemill.decisions import standings
from primrosemill.proxy import probes
from primrosemill.standins import faults
from primrosemill.standins import instance as instances
from tests.builders import configuration
from tests.builders import detection as builders
from tests.builders import path
from tests.builders import vms

INSTANCE_COUNT = 6
FAULTY = 2
OUT_OF_ROTATION = (
    standings.State.AVOIDED,
    standings.State.EJECTED,
    standings.State.TRIAL,
)
TIME_LIMIT = 30.0  # seconds, for a test that would hang otherwise


def make_standins():
    return [
        instances.InstanceStandin(f"res-{number}", 3, 0.005)
        for number in range(INSTANCE_COUNT)
    ]


def state_of(vm, number):
    service = vm.daemon.read_status()["services"][0]
    return standings.State(service["instances"][number]["state"])


async def keep_calling(vm):
    while True:
        await vms.get(vm.caller_address, "/slots/today")


class GrayInstanceTest(testtools.TestCase):
    async def start(self, nursery, standins):
        addresses = await path.start_standins(nursery, standins)
        service = configuration.service_value(
            instances=[
                configuration.instance_value(number, address=address)
                for number, address in enumerate(addresses)
            ],
            floor=4,
            detection_weight=0.9,
            probe_interval=1.0,
            routes=path.route_values(5.0),
        )
        fleet = vms.Fleet(nursery)
        await fleet.start_platform(configuration.published(service))
        started_vms = await fleet.start_all(2)
        for vm in started_vms:
            for _ in range(6):
                nursery.start_soon(keep_calling, vm)
        return started_vms

    async def run_until(self, started_vms, number, states):
        while any(state_of(vm, number) not in states for vm in started_vms):
            await trio.sleep(0.02)

    def run_limited(self, function):
        async def main():
            with trio.fail_after(TIME_LIMIT):
                async with trio.open_nursery() as nursery:
                    await function(nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_stalled_instance_is_avoided_until_it_recovers(self):
        async def function(nursery):
            standins = make_standins()
            started_vms = await self.start(nursery, standins)
            while len(standins[FAULTY].runs) < 50:
                await trio.sleep(0.02)
            standins[FAULTY].set_sickness(
                faults.InjectedFault(faults.Mode.STALL)
            )
            unused = (*OUT_OF_ROTATION, standings.State.RANKED_LAST)
            await self.run_until(started_vms, FAULTY, unused)
            standins[FAULTY].set_sickness(faults.InjectedFault())
            usable = (standings.State.IN_ROTATION, standings.State.COLD)
            await self.run_until(started_vms, FAULTY, usable)

        self.run_limited(function)

    def test_draining_instance_gets_no_new_requests_from_any_vm(self):
        async def function(nursery):
            standins = make_standins()
            started_vms = await self.start(nursery, standins)
            while len(standins[FAULTY].runs) < 50:
                await trio.sleep(0.02)
            standins[FAULTY].drain()
            await self.run_until(
                started_vms, FAULTY, (standings.State.DRAINING,)
            )
            while standins[FAULTY].in_use:
                await trio.sleep(0.01)
            runs = len(standins[FAULTY].runs)
            others = len(standins[0].runs)
            while len(standins[0].runs) < others + 100:
                await trio.sleep(0.02)
            self.assertEqual(runs, len(standins[FAULTY].runs))

        self.run_limited(function)

    def test_probe_returns_a_drain_sign(self):
        async def function(nursery):
            standin = make_standins()[0]
            (address,) = await path.start_standins(nursery, [standin])
            ip, _, port = address.rpartition(":")
            probed = (
                builders.service().instances[0]._replace(ip=ip, port=int(port))
            )
            result = await probes.probe(probed, "/health")
            self.assertEqual(probes.Result(True, False), result)
            standin.drain()
            result = await probes.probe(probed, "/health")
            self.assertEqual(probes.Result(True, True), result)

        self.run_limited(function)

    def test_probe_of_a_closed_port_fails(self):
        async def function(nursery):
            unreachable = (
                builders.service()
                .instances[0]
                ._replace(ip="127.0.0.1", port=1)
            )
            result = await probes.probe(unreachable, "/health")
            self.assertEqual(probes.Result(False, False), result)

        self.run_limited(function)
