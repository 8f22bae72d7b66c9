"""Logs the times in which this process stood still."""

from primrosemill.fleet import awake_clock
from primrosemill.telemetry import events

MIN_LOGGED_PAUSE = 0.25  # seconds


def start() -> None:
    """Log each long pause of the running event loop from now on."""
    awake_clock.current().on_pause = _log


def _log(seconds: float) -> None:
    if seconds >= MIN_LOGGED_PAUSE:
        events.emit(events.VM_PAUSED, seconds=round(seconds, 3))
