"""Stops a VM on signals: gracefully on the first, at once on the second.

Each kind of VM decides how long it still serves callers. The rest of the stop
is the same for all of them.
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
        """Stop without waiting for requests in flight."""
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
        caller_server: server.Server,
        app: application.Application,
        announce_gone: typing.Callable[[], typing.Awaitable[None]],
        run_scope: trio.CancelScope,
    ) -> None:
        self._vm_id = vm_id
        self._caller_server = caller_server
        self._application = app
        self._announce_gone = announce_gone
        self._run_scope = run_scope

    async def drain_and_stop(self, deadline: float) -> None:
        """Wait for requests in flight until the deadline, then stop.

        ``deadline`` is a trio time; requests have their answers before it.
        """
        with trio.move_on_at(deadline) as drain_scope:
            await self._caller_server.drain()
        if drain_scope.cancelled_caught:
            self.stop_immediately(TIME_OVER)
            return
        await self._announce_gone()
        events.emit(events.VM_STOPPED, vm_id=self._vm_id)
        self._run_scope.cancel()

    def stop_immediately(self, cause: str) -> None:
        """Stop now, cutting off the requests in flight."""
        events.emit(
            events.VM_STOP_CUT_SHORT,
            vm_id=self._vm_id,
            requests_in_flight=self._application.in_flight,
            cause=cause,
        )
        self._application.log_cut_off()
        self._run_scope.cancel()
