"""Signs that the process of an instance has crashed.

A request may end without an answer for several reasons. After a crash all
connections of the process end, its address refuses new ones, and its entry
disappears from the feed or names the next process. A broken connection alone
is no sign: the instance may have reset it and go on. No I/O; times are in
seconds.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import fingerprints

# Time within which a later sign may explain an attempt without an answer: an
# entry expires after three of the platform's heartbeats, and then some.
MAX_PENDING_TIME = 10.0  # seconds
MAX_PENDING = 1_000  # attempts
MAX_REMEMBERED = 1_000  # crashed incarnations
# A VM whose own network fails also sees its connections break and new ones
# refused, at many instances at once. More crashes than this in the window
# count only once the feed confirms them.
CREDIBLE_WINDOW = 2.0  # seconds
MIN_CREDIBLE_CRASHES = 3
CREDIBLE_SHARE = 0.25  # of the instances of a service


class Incarnation(typing.NamedTuple):
    """One run of the process of an instance."""

    service: str
    instance_id: str
    boot: int


class Pending(typing.NamedTuple):
    """An attempt that ended without an answer at some time."""

    incarnation: Incarnation
    fingerprint: fingerprints.Fingerprint
    ended_at: float


def incarnation_of(service: str, instance: documents.Instance) -> Incarnation:
    """Return the incarnation that an entry of a service describes."""
    return Incarnation(service, instance.id, instance.boot)


class CrashSigns:
    """What one VM has seen of crashes."""

    def __init__(self) -> None:
        self._crashed_at: dict[Incarnation, float] = {}
        self._pending: list[Pending] = []

    @property
    def has_pending(self) -> bool:
        """Return whether any attempt without an answer is unexplained."""
        return bool(self._pending)

    def has_crashed(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to have crashed."""
        return incarnation in self._crashed_at

    def add_pending(self, pending: Pending) -> None:
        """Keep an attempt without an answer until a sign explains it."""
        if len(self._pending) >= MAX_PENDING:
            del self._pending[0]
        self._pending.append(pending)

    def record_refused(
        self, incarnation: Incarnation, instance_count: int, now: float
    ) -> list[Pending]:
        """Record that the address of an incarnation refused a connection.

        ``instance_count`` is the number of instances of its service. Returns
        the attempts that a crash now explains; none if too many instances
        refuse at once to believe that all of them crashed.
        """
        recent = sum(
            now - at <= CREDIBLE_WINDOW and each.service == incarnation.service
            for each, at in self._crashed_at.items()
        )
        if incarnation not in self._crashed_at and recent >= max(
            MIN_CREDIBLE_CRASHES, CREDIBLE_SHARE * instance_count
        ):
            return []
        self._remember(incarnation, now)
        return self._take({incarnation}, now)

    def record_present(
        self, present: typing.Container[Incarnation], now: float
    ) -> list[Pending]:
        """Record the incarnations that the feed lists.

        Returns the attempts at others, which have ended since.
        """
        gone = {
            each.incarnation
            for each in self._pending
            if each.incarnation not in present
        }
        for incarnation in gone:
            self._remember(incarnation, now)
        return self._take(gone, now)

    def record_answer(self, incarnation: Incarnation, sent_at: float) -> bool:
        """Record that an incarnation answered a request sent at a time.

        Returns whether it had been taken for crashed before that.
        """
        crashed_at = self._crashed_at.get(incarnation)
        if crashed_at is None or sent_at <= crashed_at:
            return False
        del self._crashed_at[incarnation]
        return True

    def _remember(self, incarnation: Incarnation, now: float) -> None:
        if len(self._crashed_at) >= MAX_REMEMBERED:
            del self._crashed_at[next(iter(self._crashed_at))]
        self._crashed_at.setdefault(incarnation, now)

    def _take(
        self, incarnations: typing.Container[Incarnation], now: float
    ) -> list[Pending]:
        """Remove and return the pending attempts at some incarnations.

        Drops those that are too old for a sign to explain them.
        """
        taken, kept = [], []
        for each in self._pending:
            if now - each.ended_at > MAX_PENDING_TIME:
                continue
            if each.incarnation in incarnations:
                taken.append(each)
                continue
            kept.append(each)
        self._pending = kept
        return taken
