"""Watches what every VM of the demo thinks of every instance."""

import typing

import trio

from primrosemill.decisions import standings
from primrosemill.measure import demo_fleet

INTERVAL = 0.02  # seconds between two looks
REGULAR_STATES = frozenset(
    {standings.State.IN_ROTATION.value, standings.State.COLD.value}
)
SHUNNED_STATES = (
    frozenset(state.value for state in standings.State) - REGULAR_STATES
)
EJECTED_STATES = frozenset({standings.State.EJECTED.value})
# What is ranked last still takes work when nothing better is free.
OUT_STATES = SHUNNED_STATES - {standings.State.RANKED_LAST.value}


class Change(typing.NamedTuple):
    """A VM came to think otherwise of an instance, at a trio time."""

    time: float
    vm_id: str
    instance_id: str
    state: str
    reason: str


class Watch:
    """Looks at the VMs' status often and keeps every change."""

    def __init__(self, fleet: demo_fleet.Fleet) -> None:
        self._fleet = fleet
        self.changes: list[Change] = []
        self.fewest_in_rotation = demo_fleet.INSTANCES
        self._states: dict[tuple[str, str], str] = {}
        self._versions_by_id: dict[str, int] = {}
        self._changed = trio.Event()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            for vm_id in self._fleet.vms_by_id:
                self._look(vm_id)
            await trio.sleep(INTERVAL)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _look(self, vm_id: str) -> None:
        told = self._fleet.vms_by_id[vm_id].read_status()
        version = told["configuration"]["version"]
        if self._versions_by_id.get(vm_id) != version:
            self._versions_by_id[vm_id] = version
            self._wake()
        in_rotation = 0
        for found in told["services"][0]["instances"]:
            in_rotation += found["state"] not in OUT_STATES
            name = (vm_id, found["id"])
            if self._states.get(name) == found["state"]:
                continue
            self._states[name] = found["state"]
            self._wake()
            self.changes.append(
                Change(
                    trio.current_time(),
                    vm_id,
                    found["id"],
                    found["state"],
                    found["reason"],
                )
            )
        self.fewest_in_rotation = min(self.fewest_in_rotation, in_rotation)

    async def wait_until(
        self, instance_id: str, states: frozenset[str], timeout: float
    ) -> bool:
        """Wait until every VM has an instance in one of some states.

        Returns False if that is not so within the timeout in seconds.
        """
        with trio.move_on_after(timeout):
            while not self._all_have(instance_id, states):
                await self._changed.wait()
            return True
        return False

    def _all_have(self, instance_id: str, states: frozenset[str]) -> bool:
        return all(
            self._states.get((vm_id, instance_id)) in states
            for vm_id in self._fleet.vms_by_id
        )

    async def wait_for_version(self, version: int, timeout: float) -> bool:
        """Wait until every VM has a version in force, or the timeout."""
        with trio.move_on_after(timeout):
            while any(
                each < version for each in self._versions_by_id.values()
            ):
                await self._changed.wait()
            return True
        return False

    def wrongly_out(self, sick_id: str) -> list[Change]:
        """Return the changes that took out an instance which was well."""
        return [
            change
            for change in self.changes
            if change.state in OUT_STATES and change.instance_id != sick_id
        ]
