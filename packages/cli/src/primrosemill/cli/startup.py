"""Starts the command line so that a signal does not end it meanwhile.

The libraries take half a second to import. SIGHUP tells an entry VM that its
settings have changed, and its default action would end the process until the
VM follows its settings.
"""

import importlib
import signal
import types
import typing

Handler = typing.Callable[[int, types.FrameType | None], typing.Any] | int


class Hangups:
    """Ignores SIGHUP from the start of the process on."""

    def __init__(self) -> None:
        self._before: Handler | None = None

    def ignore(self) -> None:
        """Ignore SIGHUP."""
        self._before = signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def restore(self) -> None:
        """Let SIGHUP act as before, for commands that don't follow it."""
        if self._before is not None:
            signal.signal(signal.SIGHUP, self._before)
            self._before = None


hangups = Hangups()


def run() -> None:
    """Run the command line."""
    hangups.ignore()
    # Imported only now, since this takes a while.
    main = importlib.import_module("primrosemill.cli.main")
    main.main(prog_name="primrosemill")
