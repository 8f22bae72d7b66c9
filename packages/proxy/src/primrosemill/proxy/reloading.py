"""Reads the settings again when a signal asks for it or the file changes."""

import os
import pathlib
import signal
import typing

import trio

from primrosemill.proxy import entry_settings
from primrosemill.proxy import settings_faults
from primrosemill.telemetry import events

CHECK_INTERVAL = 1.0  # seconds between looks at the file
CHANGED = "changed"

OnReload = typing.Callable[[entry_settings.EntrySettings, str], None]


async def follow(path: pathlib.Path, on_reload: OnReload) -> None:
    """Reload until cancelled; a file with faults changes nothing."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_signal, path, on_reload)
        nursery.start_soon(_follow_file, path, on_reload)


async def _follow_signal(path: pathlib.Path, on_reload: OnReload) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        async for number in received:
            _reload(path, on_reload, signal.Signals(number).name)


async def _follow_file(path: pathlib.Path, on_reload: OnReload) -> None:
    known = _stamp(path)
    while True:
        await trio.sleep(CHECK_INTERVAL)
        stamp = _stamp(path)
        if stamp != known:
            known = stamp
            _reload(path, on_reload, CHANGED)


def _stamp(path: pathlib.Path) -> tuple[int, int] | None:
    """Return what changes with the file; None while it is not there."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size


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
