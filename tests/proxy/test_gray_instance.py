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

COUNT = 6
SICK = 2
OUT = (standings.State.AVOIDED, standings.State.EJECTED, standings.State.TRIAL)
TIME_LIMIT = 30.0  # seconds, for a test that would hang otherwise


def make_standins():
    return [
        instances.InstanceStandin(f"res-{number}", 3, 0.005)
        for number in range(COUNT)
    ]


def state_of(vm, number):
    service = vm.daemon.read_status()["services"][0]
    return standings.State(service["instances"][number]["state"])


async def keep_calling(vm):
    while True:
        await vms.get(vm.callers, "/slots/today")


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
        await fleet.open(configuration.published(service))
        started = await fleet.start_all(2)
        for vm in started:
            for _ in range(6):
                nursery.start_soon(keep_calling, vm)
        return started

    async def run_until(self, started, number, states):
        while any(state_of(vm, number) not in states for vm in started):
            await trio.sleep(0.02)

    def run_limited(self, function):
        async def main():
            with trio.fail_after(TIME_LIMIT):
                async with trio.open_nursery() as nursery:
                    await function(nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_stalled_instance_goes_out_and_a_well_one_comes_back(self):
        async def function(nursery):
            standins = make_standins()
            started = await self.start(nursery, standins)
            while len(standins[SICK].runs) < 50:
                await trio.sleep(0.02)
            standins[SICK].set_sickness(faults.Sickness(faults.Mode.STALL))
            unused = (*OUT, standings.State.RANKED_LAST)
            await self.run_until(started, SICK, unused)
            standins[SICK].set_sickness(faults.Sickness())
            usable = (standings.State.IN_ROTATION, standings.State.COLD)
            await self.run_until(started, SICK, usable)

        self.run_limited(function)

    def test_a_draining_instance_gets_no_new_work_from_any_vm(self):
        async def function(nursery):
            standins = make_standins()
            started = await self.start(nursery, standins)
            while len(standins[SICK].runs) < 50:
                await trio.sleep(0.02)
            standins[SICK].drain()
            await self.run_until(started, SICK, (standings.State.DRAINING,))
            while standins[SICK].in_use:
                await trio.sleep(0.01)
            runs = len(standins[SICK].runs)
            others = len(standins[0].runs)
            while len(standins[0].runs) < others + 100:
                await trio.sleep(0.02)
            self.assertEqual(runs, len(standins[SICK].runs))

        self.run_limited(function)

    def test_a_probe_brings_a_drain_sign(self):
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

    def test_a_probe_of_nobody_fails(self):
        async def function(nursery):
            nobody = (
                builders.service()
                .instances[0]
                ._replace(ip="127.0.0.1", port=1)
            )
            result = await probes.probe(nobody, "/health")
            self.assertEqual(probes.Result(False, False), result)

        self.run_limited(function)
