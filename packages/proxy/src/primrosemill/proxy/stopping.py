"""Turns signals into a graceful stop, and a second one into a quick one.

The VM says how long it still serves callers; how it ends is the same for all.
"""

import signal
import typing

import trio

from primrosemill.proxy import application
from primrosemill.proxy import server
from primrosemill.telemetry import events

SIGNALS = (signal.SIGTERM, signal.SIGINT)
TIME_OVER = "time over"


class Stoppable(typing.Protocol):
    """What can be stopped in two ways."""

    async def stop(self, cause: str) -> None:
        """Stop gracefully; returns when nothing is in flight."""
        ...

    def stop_at_once(self, cause: str) -> None:
        """Stop without waiting."""
        ...


async def stop_on_signals(
    vm: Stoppable,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Wait for signals until the VM has stopped."""
    with trio.open_signal_receiver(*SIGNALS) as received:
        task_status.started()
        async with trio.open_nursery() as nursery:
            first = await anext(received)
            nursery.start_soon(
                _stop, vm, signal.Signals(first).name, nursery.cancel_scope
            )
            second = await anext(received)
            vm.stop_at_once(signal.Signals(second).name)


async def _stop(vm: Stoppable, cause: str, scope: trio.CancelScope) -> None:
    await vm.stop(cause)
    scope.cancel()


class Stopper:
    """Ends what a VM serves: once nothing is in flight, or at once."""

    def __init__(
        self,
        vm_id: str,
        callers: server.Server,
        work: application.Application,
        announce_gone: typing.Callable[[], typing.Awaitable[None]],
        scope: trio.CancelScope,
    ) -> None:
        self._vm_id = vm_id
        self._callers = callers
        self._work = work
        self._announce_gone = announce_gone
        self._scope = scope

    async def finish(self, deadline: float) -> None:
        """Let callers' requests end, until a trio time, then end."""
        with trio.move_on_at(deadline) as waiting:
            await self._callers.drain()
        if waiting.cancelled_caught:
            self.cut_short(TIME_OVER)
            return
        await self._announce_gone()
        events.emit(events.VM_STOPPED, vm_id=self._vm_id)
        self._scope.cancel()

    def cut_short(self, cause: str) -> None:
        """End now, whatever is in flight."""
        events.emit(
            events.VM_STOP_CUT_SHORT,
            vm_id=self._vm_id,
            requests_in_flight=self._work.in_flight,
            cause=cause,
        )
        self._scope.cancel()
