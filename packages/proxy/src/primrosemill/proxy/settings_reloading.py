"""Reloads the settings on SIGHUP or when their file changes."""

import os
import pathlib
import signal
import typing

import trio

from primrosemill.proxy import entry_settings
from primrosemill.proxy import settings_faults
from primrosemill.telemetry import events

CHECK_INTERVAL = 1.0  # seconds between checks of the file
CHANGED = "changed"


class Stamp(typing.NamedTuple):
    """When a file was last modified, in nanoseconds, and its size in bytes."""

    modified: int
    size: int


OnReload = typing.Callable[[entry_settings.EntrySettings, str], None]


async def follow(
    path: pathlib.Path, stamp: Stamp | None, on_reload: OnReload
) -> None:
    """Reload until cancelled; a file with faults is ignored and logged.

    ``stamp`` is that of the file before it was read for the first time, so
    that no change since then is missed.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_signal, path, on_reload)
        nursery.start_soon(_follow_file, path, stamp, on_reload)


async def _follow_signal(path: pathlib.Path, on_reload: OnReload) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        async for number in received:
            _reload(path, on_reload, signal.Signals(number).name)


async def _follow_file(
    path: pathlib.Path, last_stamp: Stamp | None, on_reload: OnReload
) -> None:
    while True:
        await trio.sleep(CHECK_INTERVAL)
        stamp = read_stamp(path)
        if stamp != last_stamp:
            last_stamp = stamp
            _reload(path, on_reload, CHANGED)


def read_stamp(path: pathlib.Path) -> Stamp | None:
    """Return the file's time and size, or None if it can't be read."""
    try:
        file_stat = os.stat(path)
    except OSError:
        return None
    return Stamp(file_stat.st_mtime_ns, file_stat.st_size)


def _reload(path: pathlib.Path, on_reload: OnReload, cause: str) -> None:
    result = entry_settings.read(path)
    if result.is_ok():
        on_reload(result.ok, cause)
        return
    events.emit(
        events.SETTINGS_REFUSED,
        cause=cause,
        faults=[settings_faults.describe(each) for each in result.error],
    )
