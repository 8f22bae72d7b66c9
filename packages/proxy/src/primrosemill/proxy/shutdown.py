"""Stops a VM on signals: gracefully on the first, at once on the second.

The VM decides how long it still serves callers; the rest of the stop is the
same for all kinds of VMs.
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
    """A process that can be stopped gracefully or at once."""

    async def stop(self, cause: str) -> None:
        """Stop gracefully; return when no request is in flight."""
        ...

    def stop_immediately(self, cause: str) -> None:
        """Stop without drain_scope for requests in flight."""
        ...


async def stop_on_signals(
    vm: Stoppable,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Handle signals until the VM has stopped."""
    with trio.open_signal_receiver(*SIGNALS) as received_signals:
        task_status.started()
        async with trio.open_nursery() as nursery:
            first_signal = await anext(received_signals)
            nursery.start_soon(
                _stop,
                vm,
                signal.Signals(first_signal).name,
                nursery.cancel_scope,
            )
            second_signal = await anext(received_signals)
            vm.stop_immediately(signal.Signals(second_signal).name)


async def _stop(vm: Stoppable, cause: str, scope: trio.CancelScope) -> None:
    await vm.stop(cause)
    scope.cancel()


class Stopper:
    """Stops a VM: once its requests in flight have ended, or at once."""

    def __init__(
        self,
        vm_id: str,
        callers: server.Server,
        app: application.Application,
        announce_gone: typing.Callable[[], typing.Awaitable[None]],
        scope: trio.CancelScope,
    ) -> None:
        self._vm_id = vm_id
        self._callers = callers
        self._application = app
        self._announce_gone = announce_gone
        self._scope = scope

    async def drain_and_stop(self, deadline: float) -> None:
        """Let requests in flight end until a trio time, then stop."""
        with trio.move_on_at(deadline) as drain_scope:
            await self._callers.drain()
        if drain_scope.cancelled_caught:
            self.cut_short(TIME_OVER)
            return
        await self._announce_gone()
        events.emit(events.VM_STOPPED, vm_id=self._vm_id)
        self._scope.cancel()

    def cut_short(self, cause: str) -> None:
        """Stop now, cutting off the requests in flight."""
        events.emit(
            events.VM_STOP_CUT_SHORT,
            vm_id=self._vm_id,
            requests_in_flight=self._application.in_flight,
            cause=cause,
        )
        self._scope.cancel()
