"""Turns signals into a graceful stop, and a second one into a quick one."""

import signal
import typing

import trio

SIGNALS = (signal.SIGTERM, signal.SIGINT)


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
