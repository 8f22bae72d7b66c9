"""Monitors the state of each instance on each VM of the demo."""

import typing

import trio

from primrosemill.decisions import standings
from primrosemill.measure import demo_fleet

POLL_INTERVAL = 0.02  # seconds
REGULAR_STATES = frozenset(
    {standings.State.IN_ROTATION.value, standings.State.COLD.value}
)
NOT_PREFERRED_STATES = (
    frozenset(state.value for state in standings.State) - REGULAR_STATES
)
EJECTED_STATES = frozenset({standings.State.EJECTED.value})
# An instance that is ranked last still gets requests when no other is free.
OUT_STATES = NOT_PREFERRED_STATES - {standings.State.RANKED_LAST.value}


class StateChange(typing.NamedTuple):
    """A change of an instance's state on one VM, at a time of trio's clock."""

    time: float
    vm_id: str
    instance_id: str
    state: str
    reason: str


class StatusMonitor:
    """Polls the status of the VMs and records all state changes."""

    def __init__(self, fleet: demo_fleet.Fleet) -> None:
        self._fleet = fleet
        self.changes: list[StateChange] = []
        self.min_in_rotation = demo_fleet.INSTANCES
        self._state_by_key: dict[tuple[str, str], str] = {}
        self._versions_by_id: dict[str, int] = {}
        self._changed = trio.Event()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            for vm_id in self._fleet.vms_by_id:
                self._poll(vm_id)
            await trio.sleep(POLL_INTERVAL)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _poll(self, vm_id: str) -> None:
        status = self._fleet.vms_by_id[vm_id].read_status()
        version = status["configuration"]["version"]
        if self._versions_by_id.get(vm_id) != version:
            self._versions_by_id[vm_id] = version
            self._notify()
        in_rotation = 0
        for instance in status["services"][0]["instances"]:
            in_rotation += instance["state"] not in OUT_STATES
            key = (vm_id, instance["id"])
            if self._state_by_key.get(key) == instance["state"]:
                continue
            self._state_by_key[key] = instance["state"]
            self._notify()
            self.changes.append(
                StateChange(
                    trio.current_time(),
                    vm_id,
                    instance["id"],
                    instance["state"],
                    instance["reason"],
                )
            )
        self.min_in_rotation = min(self.min_in_rotation, in_rotation)

    async def wait_for_states(
        self, instance_id: str, states: frozenset[str], timeout: float
    ) -> bool:
        """Wait until an instance is in one of the states on every VM.

        Returns False after the timeout, in seconds.
        """
        with trio.move_on_after(timeout):
            while not self._all_in_states(instance_id, states):
                await self._changed.wait()
            return True
        return False

    def _all_in_states(self, instance_id: str, states: frozenset[str]) -> bool:
        return all(
            self._state_by_key.get((vm_id, instance_id)) in states
            for vm_id in self._fleet.vms_by_id
        )

    async def wait_for_version(self, version: int, timeout: float) -> bool:
        """Wait until a version is in force on every VM.

        Returns False after the timeout, in seconds.
        """
        with trio.move_on_after(timeout):
            while any(
                in_force < version
                for in_force in self._versions_by_id.values()
            ):
                await self._changed.wait()
            return True
        return False

    def false_removals(self, gray_instance_id: str) -> list[StateChange]:
        """Return the changes that removed a healthy instance from rotation."""
        return [
            change
            for change in self.changes
            if change.state in OUT_STATES
            and change.instance_id != gray_instance_id
        ]
