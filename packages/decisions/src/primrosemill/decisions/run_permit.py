"""Decides whether a request may be sent to an instance or refused.

A refusal promises that the request has not run and never will. So the two
exclude each other, in both orders: whatever sends a request asks its permit
right before the first byte, and whatever refuses it asks before the refusal
is decided. The module does no I/O; docs/design/refusals.md has the table of
who asks when.
"""

import enum


class State(enum.StrEnum):
    """What may still become of a request."""

    OPEN = "open"  # It may be sent or refused.
    SENT = "sent"  # It may have run: it may be repeated, not refused.
    NOT_RUN = "not_run"  # It has not run, and is sent to nobody any more.
    ENDED = "ended"  # It may have run, and is sent to nobody any more.


class RunPermit:
    """The permit of one request, which all of its attempts share."""

    def __init__(self) -> None:
        self._attempts = 0
        self._may_have_run = False
        self._closed = False

    @property
    def state(self) -> State:
        """Return what may still become of the request."""
        may_have_run = bool(self._attempts) or self._may_have_run
        if self._closed:
            return State.ENDED if may_have_run else State.NOT_RUN
        return State.SENT if may_have_run else State.OPEN

    def begin_attempt(self) -> bool:
        """Return whether an attempt may send its first byte now.

        If so, the request counts as maybe run until :meth:`end_attempt`.
        """
        if self._closed:
            return False
        self._attempts += 1
        return True

    def end_attempt(self, *, not_run: bool) -> None:
        """Record the end of an attempt that had begun.

        ``not_run`` tells that the instance got no byte, or said that it has
        not run the request.
        """
        self._attempts -= 1
        if not not_run:
            self._may_have_run = True

    def close(self) -> None:
        """Let no further attempt begin; those that have begun go on."""
        self._closed = True

    def refuse(self) -> bool:
        """Return whether the request may be refused; if so, it never runs."""
        if self._attempts or self._may_have_run:
            return False
        self._closed = True
        return True
