"""Runs a small fleet on loopback addresses and checks its guarantees.

One instance turns gray: it accepts requests but never answers them, while its
health endpoint reports success. The fleet must eject it, lose no request, and
use it again after it has recovered. Then a new version is published while one
VM cannot reach the store, and another VM is asked to stop.
"""

import sys
import time

import click
import trio

from primrosemill.measure import demo_fleet
from primrosemill.measure import demo_monitor
from primrosemill.measure import demo_report
from primrosemill.measure import demo_traffic
from primrosemill.standins import faults
from primrosemill.standins import platform_modes as modes

GRAY_INSTANCE_ID = f"{demo_fleet.SERVICE}-1"
SETTLING_SECONDS = 2.0
HEALTHY_SECONDS = 8.0
EJECTED_SECONDS = 4.0
FINAL_SECONDS = 3.0
DETECTION_TIMEOUT = 8.0  # seconds
RECOVERY_TIMEOUT = 20.0  # seconds
PROPAGATION_TIMEOUT = 8.0  # seconds
SHUTDOWN_TIMEOUT = 10.0  # seconds
STOPPED_VM_ID = "entry-0"
CUT_OFF_VM_ID = "entry-2"


class Demo:
    """One run of the demo, phase by phase."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._started = time.perf_counter()
        self._phases: list[demo_report.Phase] = []

    def _print(self, text: str) -> None:
        elapsed = time.perf_counter() - self._started
        click.echo(f"{elapsed:5.1f} s  {text}")

    def _begin_phase(self, name: str, text: str) -> None:
        self._phases.append(demo_report.Phase(name, trio.current_time()))
        self._print(text)

    async def run(self) -> bool:
        """Run the demo and return whether all guarantees held."""
        async with trio.open_nursery() as nursery:
            self._print("starting a platform, instances and VMs")
            fleet = await demo_fleet.start(nursery, self._seed)
            self._print(
                f"{demo_fleet.VMS} VMs serve {demo_fleet.INSTANCES} instances "
                f"in {len(demo_fleet.DOMAINS)} failure domains"
            )
            monitor = demo_monitor.StatusMonitor(fleet)
            nursery.start_soon(monitor.run)
            address_book = demo_traffic.AddressBook(fleet.caller_addresses)
            await nursery.start(address_book.run)
            addresses_by_caller = address_book.addresses_by_caller
            first_addresses = {
                addresses[0] for addresses in addresses_by_caller.values()
            }
            self._print(
                f"{len(addresses_by_caller)} callers were told of "
                f"{len(first_addresses)} VMs"
            )
            traffic = demo_traffic.TrafficGenerator(
                addresses_by_caller,
                demo_traffic.REQUEST_RATE,
                f"c{self._seed}",
            )
            async with trio.open_nursery() as traffic_nursery:
                traffic_nursery.start_soon(traffic.run)
                await self._run_healthy_phase(fleet, traffic)
                times = await self._run_gray_phase(fleet, monitor)
                propagation = await self._publish_version(fleet, monitor)
                shutdown = await self._stop_vm(fleet)
                times = times._replace(
                    propagation=propagation, shutdown=shutdown
                )
                await trio.sleep(FINAL_SECONDS)
                traffic.stop()
            guarantees = demo_report.check_guarantees(
                fleet, monitor, traffic.results, times, GRAY_INSTANCE_ID
            )
            nursery.cancel_scope.cancel()
        self._report(traffic, guarantees)
        return all(guarantee.held for guarantee in guarantees)

    async def _run_healthy_phase(
        self, fleet: demo_fleet.Fleet, traffic: demo_traffic.TrafficGenerator
    ) -> None:
        self._begin_phase(
            "start", f"{demo_traffic.REQUEST_RATE:g} requests a second"
        )
        await trio.sleep(SETTLING_SECONDS)
        self._begin_phase("all well", "all instances are well")
        direct_traffic = demo_traffic.TrafficGenerator(
            {address: [address] for address in fleet.instance_addresses},
            demo_traffic.DIRECT_REQUEST_RATE,
            f"d{self._seed}",
        )
        first_result = len(traffic.results)
        async with trio.open_nursery() as traffic_nursery:
            traffic_nursery.start_soon(direct_traffic.run)
            await trio.sleep(HEALTHY_SECONDS)
            direct_traffic.stop()
        via_vm = demo_report.percentiles(traffic.results[first_result:])
        direct = demo_report.percentiles(direct_traffic.results)
        self._print(
            f"added latency: {via_vm[0] - direct[0]:.1f} ms at the median "
            f"({via_vm[0]:.1f} through a VM, {direct[0]:.1f} straight), "
            f"{via_vm[1] - direct[1]:.1f} ms at 99 % "
            f"({via_vm[1]:.1f}, {direct[1]:.1f}); callers, VMs and "
            "instances share one thread"
        )

    async def _run_gray_phase(
        self, fleet: demo_fleet.Fleet, monitor: demo_monitor.StatusMonitor
    ) -> demo_report.Times:
        gray_instance = fleet.instances_by_id[GRAY_INSTANCE_ID]
        gray_instance.set_sickness(faults.InjectedFault(faults.Mode.STALL))
        self._begin_phase(
            "before detection", f"{GRAY_INSTANCE_ID} stalls, its probes lie"
        )
        started = trio.current_time()
        runs_before = len(gray_instance.runs)
        detection = await self._time_until(
            monitor, demo_monitor.NOT_PREFERRED_STATES, DETECTION_TIMEOUT
        )
        if detection is None:
            self._begin_phase("not noticed", "not every VM noticed it")
        else:
            self._begin_phase(
                "noticed",
                f"no VM prefers it any more, {detection:.2f} s later; it had "
                f"received {len(gray_instance.runs) - runs_before} requests",
            )
        ejection = await self._time_until(
            monitor, demo_monitor.EJECTED_STATES, DETECTION_TIMEOUT
        )
        if ejection is None:
            self._print("not every VM ejected it")
        else:
            ejection = trio.current_time() - started
            self._begin_phase(
                "ejected", f"every VM ejected it, {ejection:.2f} s in"
            )
        await trio.sleep(EJECTED_SECONDS)
        self._print(
            f"while sick it received "
            f"{len(gray_instance.runs) - runs_before} requests"
        )
        gray_instance.set_sickness(faults.InjectedFault())
        self._begin_phase("recovering", f"{GRAY_INSTANCE_ID} is well again")
        recovery = await self._time_until(
            monitor, demo_monitor.REGULAR_STATES, RECOVERY_TIMEOUT
        )
        if recovery is None:
            self._begin_phase("not back", "not every VM uses it again")
        else:
            self._begin_phase(
                "back", f"every VM uses it, {recovery:.2f} s later"
            )
        if detection is None:
            recovery = None
        return demo_report.Times(detection, ejection, recovery)

    async def _time_until(
        self,
        monitor: demo_monitor.StatusMonitor,
        states: frozenset[str],
        timeout: float,
    ) -> float | None:
        """Return the seconds until all VMs report one of the states."""
        started = trio.current_time()
        if await monitor.wait_for_states(GRAY_INSTANCE_ID, states, timeout):
            return trio.current_time() - started
        return None

    async def _publish_version(
        self, fleet: demo_fleet.Fleet, monitor: demo_monitor.StatusMonitor
    ) -> float | None:
        """Publish a version and return the seconds until all VMs used it."""
        fleet.views_by_id[CUT_OFF_VM_ID].mode = modes.Down()
        self._begin_phase(
            "new version", f"a new version, while {CUT_OFF_VM_ID} has no store"
        )
        publication = demo_fleet.prepare_version(
            fleet.instance_addresses, demo_fleet.NEXT_DEMAND, fleet.published
        )
        started = trio.current_time()
        fleet.views_by_id[STOPPED_VM_ID].publish(publication.changed_by_key)
        if not await monitor.wait_for_version(
            publication.version, PROPAGATION_TIMEOUT
        ):
            self._print("not every VM has it in force")
            return None
        propagation = trio.current_time() - started
        self._print(f"every VM has it in force, {propagation:.2f} s later")
        return propagation

    async def _stop_vm(self, fleet: demo_fleet.Fleet) -> float | None:
        """Stop a VM as an operator does and return the seconds it took."""
        self._begin_phase("a VM leaves", f"{STOPPED_VM_ID} is asked to stop")
        started = trio.current_time()
        with trio.move_on_after(SHUTDOWN_TIMEOUT):
            await fleet.vms_by_id[STOPPED_VM_ID].stop("demo")
            shutdown = trio.current_time() - started
            self._begin_phase(
                "after it", f"it has stopped, {shutdown:.2f} s later"
            )
            return shutdown
        return None

    def _report(
        self,
        traffic: demo_traffic.TrafficGenerator,
        guarantees: list[demo_report.Guarantee],
    ) -> None:
        self._print(f"{len(traffic.results)} requests met:")
        for line in demo_report.describe_phases(self._phases, traffic.results):
            click.echo(line)
        for guarantee in guarantees:
            verdict = "held  " if guarantee.held else "BROKEN"
            detail = f" ({guarantee.detail})" if guarantee.detail else ""
            click.echo(f"  {verdict} {guarantee.text}{detail}")


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Run a small fleet through a gray instance and two planned changes.

    Exit status: 0 if all guarantees held, 1 otherwise.
    """
    sys.exit(0 if trio.run(Demo(seed).run) else 1)
