"""Guards instances against requests that crash them.

The guard of a VM collects what attempts (:mod:`.request_watch`), the feed and
other VMs show of crashes, logs and counts it, and has other VMs told. What
follows is decided by :mod:`primrosemill.decisions.quarantine`.
"""

import enum
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import crash_signs
from primrosemill.decisions import fingerprints
from primrosemill.decisions import quarantine as quarantines
from primrosemill.proxy import connections
from primrosemill.proxy import crash_checks
from primrosemill.telemetry import events

SOURCE_ATTEMPT = "attempt"
SOURCE_ANSWER = "answer"
SOURCE_PEER = "peer"
SOURCE_OPERATOR = "operator"
SOURCE_SILENCE = "silence"
CRASH_ID_SIZE = 8  # bytes
MAX_TARGETS = 1_000  # kept for operators
MAX_TARGET_LENGTH = 200  # characters
UNDECIDED_SIGNS = frozenset(
    {crash_checks.Sign.UNDECIDED, crash_checks.Sign.NOT_CHECKED}
)


class Evidence(enum.StrEnum):
    """What a VM learns of requests that may crash instances."""

    CRASH = "crash"
    CRASH_TOLD_BY_PEER = "crash_told_by_peer"
    UNCONFIRMED = "unconfirmed"
    WITHDRAWN = "withdrawn"
    COMPLETION = "completion"
    CLEARED_BY_PEER = "cleared_by_peer"
    RELEASED = "released"
    FORGOTTEN = "forgotten"


# Called with a request of which other VMs have to be told, and whether all
# VMs have to know it.
OnNews = typing.Callable[[fingerprints.Fingerprint, bool], None]
Count = typing.Callable[[Evidence], None]


def _ignore_news(fingerprint: fingerprints.Fingerprint, to_all: bool) -> None:
    pass


def _ignore_evidence(kind: Evidence) -> None:
    pass


class RequestGuard:
    """What a VM knows of requests that crash instances.

    ``count`` is called with each piece of evidence.
    """

    def __init__(
        self,
        hasher: fingerprints.Hasher | None = None,
        quarantine: quarantines.Quarantine | None = None,
        count: Count = _ignore_evidence,
    ) -> None:
        self.hasher = hasher or fingerprints.Hasher()
        self.quarantine = quarantine or quarantines.Quarantine()
        self.on_news: OnNews = _ignore_news
        self._count = count
        self._signs = crash_signs.CrashSigns()
        self._instances: dict[crash_signs.Incarnation, documents.Instance] = {}
        self._instance_counts: dict[str, int] = {}
        # Targets of requests seen by this VM, for operators.
        self._targets: dict[fingerprints.Fingerprint, str] = {}

    def set_services(
        self, services_by_name: typing.Mapping[str, documents.Service]
    ) -> None:
        """Set the instances that are known now."""
        self._instances = {
            crash_signs.incarnation_of(name, instance): instance
            for name, service in services_by_name.items()
            for instance in service.instances
        }
        self._instance_counts = {
            name: len(service.instances)
            for name, service in services_by_name.items()
        }
        if not self._signs.has_pending:
            return
        now = trio.current_time()
        for pending in self._signs.record_present(self._instances, now):
            self._attribute(pending, now, "")

    def is_in_use(self, incarnation: crash_signs.Incarnation) -> bool:
        """Return whether an incarnation is listed and not leaving."""
        instance = self._instances.get(incarnation)
        return instance is not None and not instance.leaving

    async def check_instance(
        self,
        pool: connections.Connections,
        incarnation: crash_signs.Incarnation,
        instance: documents.Instance,
    ) -> crash_checks.Sign:
        """Find out whether an instance has crashed."""
        if self._signs.has_crashed(incarnation):
            return crash_checks.Sign.REFUSED
        if not self.is_in_use(incarnation):
            return crash_checks.Sign.LEAVING
        sign = await crash_checks.check(pool, instance)
        if sign is crash_checks.Sign.REFUSED:
            self.record_refused(incarnation)
            if not self._signs.has_crashed(incarnation):
                # Too many at once: the network of this VM may be at fault.
                sign = crash_checks.Sign.UNDECIDED
        return sign

    def record_refused(self, incarnation: crash_signs.Incarnation) -> None:
        """Record that an instance refused a connection."""
        if not self.is_in_use(incarnation):
            return
        now = trio.current_time()
        count = self._instance_counts.get(incarnation.service, 0)
        for pending in self._signs.record_refused(incarnation, count, now):
            self._attribute(pending, now, "")

    def record_lost(
        self,
        fingerprint: fingerprints.Fingerprint,
        incarnation: crash_signs.Incarnation,
        sign: crash_checks.Sign,
        request_id: str,
    ) -> None:
        """Record an attempt that ended without an answer."""
        now = trio.current_time()
        pending = crash_signs.Pending(incarnation, fingerprint, now)
        if self._signs.has_crashed(incarnation):
            self._attribute(pending, now, request_id)
        elif sign in UNDECIDED_SIGNS and self.is_in_use(incarnation):
            self._count(Evidence.UNCONFIRMED)
            self._signs.add_pending(pending)

    def record_attempt(self, crashed: bool) -> None:
        """Count an attempt and whether its instance crashed."""
        self.quarantine.background.record(crashed, trio.current_time())

    def record_answer(
        self, incarnation: crash_signs.Incarnation, sent_at: float
    ) -> None:
        """Record that an instance answered a request sent at a time."""
        if self._signs.record_answer(incarnation, sent_at):
            self._count(Evidence.WITHDRAWN)
            self.quarantine.withdraw(self.crash_id(incarnation))

    def record_completion(
        self, fingerprint: fingerprints.Fingerprint, request_id: str
    ) -> None:
        """Record that an instance ran a request to its end."""
        now = trio.current_time()
        crash_count = self._crash_count(fingerprint)
        if self.quarantine.record_completion(fingerprint, now):
            self._count(Evidence.COMPLETION)
            self._end_suspicion(fingerprint, SOURCE_ANSWER, request_id)
            self.on_news(fingerprint, crash_count > 1)

    def release(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Release a request on all VMs; return whether it was suspected."""
        if not self.quarantine.release(fingerprint, trio.current_time()):
            return False
        self._count(Evidence.RELEASED)
        self._end_suspicion(fingerprint, SOURCE_OPERATOR)
        self.on_news(fingerprint, True)
        return True

    def merge(self, report: quarantines.Report) -> None:
        """Apply what another VM knows of a request."""
        now = trio.current_time()
        fingerprint = report.fingerprint
        was_suspected = self.quarantine.is_suspected(fingerprint)
        merged = self.quarantine.merge(report, now)
        if merged.is_incomplete:
            self.on_news(fingerprint, False)
        if not merged.is_new:
            return
        if self.quarantine.is_suspected(fingerprint):
            self._count(Evidence.CRASH_TOLD_BY_PEER)
            self._log_crash(fingerprint, now, SOURCE_PEER)
        elif was_suspected:
            self._count(Evidence.CLEARED_BY_PEER)
            self._end_suspicion(fingerprint, SOURCE_PEER)

    def forget_old(self) -> None:
        """Forget requests that have not come for a long time."""
        for fingerprint in self.quarantine.forget_old(trio.current_time()):
            self._count(Evidence.FORGOTTEN)
            self._end_suspicion(fingerprint, SOURCE_SILENCE)

    def target(self, fingerprint: fingerprints.Fingerprint) -> str:
        """Return the target of a request, if this VM has seen it."""
        return self._targets.get(fingerprint, "")

    def describe(
        self, fingerprint: fingerprints.Fingerprint
    ) -> dict[str, typing.Any]:
        """Return the fields of log lines on a request that is known."""
        probability = self.quarantine.probability(
            fingerprint, trio.current_time()
        )
        return {
            "fingerprint": str(fingerprint),
            "crashes": self._crash_count(fingerprint),
            "probability": round(probability, 4),
        }

    def remember_target(
        self, fingerprint: fingerprints.Fingerprint, target: str
    ) -> None:
        """Keep the target of a suspected request for operators."""
        if self.quarantine.suspect(fingerprint) is None:
            return
        if len(self._targets) >= MAX_TARGETS:
            del self._targets[next(iter(self._targets))]
        self._targets[fingerprint] = target[:MAX_TARGET_LENGTH]

    def crash_id(self, incarnation: crash_signs.Incarnation) -> bytes:
        """Return the digest that names the end of an incarnation."""
        parts = (str(part).encode() for part in incarnation)
        return self.hasher.digest_head(parts)[:CRASH_ID_SIZE]

    def _attribute(
        self, pending: crash_signs.Pending, now: float, request_id: str
    ) -> None:
        """Record that an incarnation crashed while it ran a request."""
        fingerprint = pending.fingerprint
        crash = quarantines.Crash(self.crash_id(pending.incarnation), now)
        if not self.quarantine.record_crash(fingerprint, crash, now):
            return
        self._count(Evidence.CRASH)
        self._log_crash(fingerprint, now, SOURCE_ATTEMPT, request_id)
        self.on_news(fingerprint, self._crash_count(fingerprint) > 1)

    def _crash_count(self, fingerprint: fingerprints.Fingerprint) -> int:
        suspect = self.quarantine.suspect(fingerprint)
        return 0 if suspect is None else len(suspect.crashed_at_by_id)

    def _log_crash(
        self,
        fingerprint: fingerprints.Fingerprint,
        now: float,
        source: str,
        request_id: str = "",
    ) -> None:
        suspect = self.quarantine.suspect(fingerprint)
        events.emit(
            events.CRASH_ATTRIBUTED,
            **self.describe(fingerprint),
            source=source,
            age=round(now - suspect.crashed_at, 3),
            request_id=request_id,
        )

    def _end_suspicion(
        self,
        fingerprint: fingerprints.Fingerprint,
        source: str,
        request_id: str = "",
    ) -> None:
        self._targets.pop(fingerprint, None)
        events.emit(
            events.SUSPICION_ENDED,
            fingerprint=str(fingerprint),
            source=source,
            request_id=request_id,
        )
