"""Runs a small fleet on loopback and shows what it does for callers.

One instance turns gray: it takes requests and never answers them, while its
health endpoint stays good. The fleet must take it out, lose no request, and
bring it back after it has recovered. Then a new version is published while
one VM cannot reach the store, and another VM is asked to stop.
"""

import sys
import time

import click
import trio

from primrosemill.measure import demo_callers
from primrosemill.measure import demo_fleet
from primrosemill.measure import demo_report
from primrosemill.measure import demo_watch
from primrosemill.standins import faults
from primrosemill.standins import platform_modes as modes

SICK_ID = f"{demo_fleet.SERVICE}-1"
SETTLING_SECONDS = 2.0
HEALTHY_SECONDS = 8.0
OUT_SECONDS = 4.0
LAST_SECONDS = 3.0
DETECTION_PATIENCE = 8.0  # seconds
RECOVERY_PATIENCE = 20.0  # seconds
SPREAD_PATIENCE = 8.0  # seconds
LEAVING_PATIENCE = 10.0  # seconds
LEAVING_ID = "entry-0"
CUT_OFF_ID = "entry-2"


class Demo:
    """Leads through the phases and keeps what is needed to judge them."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._started = time.perf_counter()
        self._phases: list[demo_report.Phase] = []

    def _say(self, text: str) -> None:
        elapsed = time.perf_counter() - self._started
        click.echo(f"{elapsed:5.1f} s  {text}")

    def _begin(self, name: str, text: str) -> None:
        self._phases.append(demo_report.Phase(name, trio.current_time()))
        self._say(text)

    async def run(self) -> bool:
        """Run the demo; returns whether every promise held."""
        async with trio.open_nursery() as nursery:
            self._say("starting a platform, instances and VMs")
            fleet = await demo_fleet.start(nursery, self._seed)
            self._say(
                f"{demo_fleet.VMS} VMs serve {demo_fleet.INSTANCES} instances "
                f"in {len(demo_fleet.DOMAINS)} failure domains"
            )
            watch = demo_watch.Watch(fleet)
            nursery.start_soon(watch.run)
            book = demo_callers.AddressBook(fleet.caller_addresses)
            await nursery.start(book.run)
            told = book.told_by_caller
            used = {addresses[0] for addresses in told.values()}
            self._say(f"{len(told)} callers were told of {len(used)} VMs")
            callers = demo_callers.Callers(
                told, demo_callers.RATE, f"c{self._seed}"
            )
            async with trio.open_nursery() as calling:
                calling.start_soon(callers.run)
                await self._pass_healthy_time(fleet, callers)
                times = await self._pass_sick_time(fleet, watch)
                spread = await self._publish(fleet, watch)
                leaving = await self._let_vm_leave(fleet)
                times = times._replace(spread=spread, leaving=leaving)
                await trio.sleep(LAST_SECONDS)
                callers.stop()
            promises = demo_report.judge(
                fleet, watch, callers.met, times, SICK_ID
            )
            nursery.cancel_scope.cancel()
        self._report(callers, promises)
        return all(promise.held for promise in promises)

    async def _pass_healthy_time(
        self, fleet: demo_fleet.Fleet, callers: demo_callers.Callers
    ) -> None:
        self._begin("start", f"{demo_callers.RATE:g} requests a second")
        await trio.sleep(SETTLING_SECONDS)
        self._begin("all well", "all instances are well")
        direct = demo_callers.Callers(
            {address: [address] for address in fleet.instance_addresses},
            demo_callers.DIRECT_RATE,
            f"d{self._seed}",
        )
        since = len(callers.met)
        async with trio.open_nursery() as calling:
            calling.start_soon(direct.run)
            await trio.sleep(HEALTHY_SECONDS)
            direct.stop()
        through = demo_report.percentiles(callers.met[since:])
        straight = demo_report.percentiles(direct.met)
        self._say(
            f"added latency: {through[0] - straight[0]:.1f} ms at the median "
            f"({through[0]:.1f} through a VM, {straight[0]:.1f} straight), "
            f"{through[1] - straight[1]:.1f} ms at 99 % "
            f"({through[1]:.1f}, {straight[1]:.1f}); callers, VMs and "
            "instances share one thread"
        )

    async def _pass_sick_time(
        self, fleet: demo_fleet.Fleet, watch: demo_watch.Watch
    ) -> demo_report.Times:
        sick = fleet.instances_by_id[SICK_ID]
        sick.set_sickness(faults.Sickness(faults.Mode.STALL))
        self._begin("before detection", f"{SICK_ID} stalls, its probes lie")
        began = trio.current_time()
        runs_before = len(sick.runs)
        detection = await self._time_until(
            watch, demo_watch.SHUNNED_STATES, DETECTION_PATIENCE
        )
        if detection is None:
            self._begin("not noticed", "not every VM noticed it")
        else:
            self._begin(
                "noticed",
                f"no VM prefers it any more, {detection:.2f} s later; it had "
                f"received {len(sick.runs) - runs_before} requests",
            )
        ejection = await self._time_until(
            watch, demo_watch.EJECTED_STATES, DETECTION_PATIENCE
        )
        if ejection is None:
            self._say("not every VM ejected it")
        else:
            ejection = trio.current_time() - began
            self._begin("ejected", f"every VM ejected it, {ejection:.2f} s in")
        await trio.sleep(OUT_SECONDS)
        self._say(
            f"while sick it received {len(sick.runs) - runs_before} requests"
        )
        sick.set_sickness(faults.Sickness())
        self._begin("recovering", f"{SICK_ID} is well again")
        recovery = await self._time_until(
            watch, demo_watch.REGULAR_STATES, RECOVERY_PATIENCE
        )
        if recovery is None:
            self._begin("not back", "not every VM uses it again")
        else:
            self._begin("back", f"every VM uses it, {recovery:.2f} s later")
        if detection is None:
            recovery = None
        return demo_report.Times(detection, ejection, recovery)

    async def _time_until(
        self,
        watch: demo_watch.Watch,
        states: frozenset[str],
        patience: float,
    ) -> float | None:
        """Return how long it took every VM to have it in some states."""
        began = trio.current_time()
        if await watch.wait_until(SICK_ID, states, patience):
            return trio.current_time() - began
        return None

    async def _publish(
        self, fleet: demo_fleet.Fleet, watch: demo_watch.Watch
    ) -> float | None:
        """Publish a version; returns how long it took to every VM."""
        fleet.views_by_id[CUT_OFF_ID].mode = modes.Down()
        self._begin(
            "new version", f"a new version, while {CUT_OFF_ID} has no store"
        )
        later = demo_fleet.prepare(
            fleet.instance_addresses, demo_fleet.NEXT_DEMAND, fleet.published
        )
        began = trio.current_time()
        fleet.views_by_id[LEAVING_ID].publish(later.changed_by_key)
        if not await watch.wait_for_version(later.version, SPREAD_PATIENCE):
            self._say("not every VM has it in force")
            return None
        spread = trio.current_time() - began
        self._say(f"every VM has it in force, {spread:.2f} s later")
        return spread

    async def _let_vm_leave(self, fleet: demo_fleet.Fleet) -> float | None:
        """Stop a VM as an operator does; returns how long that took."""
        self._begin("a VM leaves", f"{LEAVING_ID} is asked to stop")
        began = trio.current_time()
        with trio.move_on_after(LEAVING_PATIENCE):
            await fleet.vms_by_id[LEAVING_ID].stop("demo")
            leaving = trio.current_time() - began
            self._begin("after it", f"it has stopped, {leaving:.2f} s later")
            return leaving
        return None

    def _report(
        self,
        callers: demo_callers.Callers,
        promises: list[demo_report.Promise],
    ) -> None:
        self._say(f"{len(callers.met)} requests met:")
        for line in demo_report.describe_phases(self._phases, callers.met):
            click.echo(line)
        for promise in promises:
            verdict = "held  " if promise.held else "BROKEN"
            detail = f" ({promise.detail})" if promise.detail else ""
            click.echo(f"  {verdict} {promise.text}{detail}")


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Run a small fleet through a sick instance and two planned changes.

    Exit status: 0 if every promise held, 1 otherwise.
    """
    sys.exit(0 if trio.run(Demo(seed).run) else 1)
