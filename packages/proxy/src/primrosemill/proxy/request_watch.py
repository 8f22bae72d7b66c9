"""Follows one request, to see whether it crashes its instances.

A watch recognises the request by its fingerprint, reports the ends of its
attempts to the guard of the VM, and tells whether it may be sent.
"""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import crash_signs
from primrosemill.decisions import fingerprints
from primrosemill.decisions import outcomes
from primrosemill.decisions import quarantine as quarantines
from primrosemill.proxy import asgi
from primrosemill.proxy import connections
from primrosemill.proxy import crash_checks
from primrosemill.proxy import headers
from primrosemill.proxy import replay_body
from primrosemill.proxy import request_guard
from primrosemill.proxy import request_policies
from primrosemill.telemetry import events

# Attempts that ended in one of these ways may have crashed their instance.
CRASH_LIKE_REASONS = frozenset(
    {outcomes.UnknownReason.CLOSED, outcomes.UnknownReason.TRUNCATED}
)


class _Lost(typing.NamedTuple):
    """An attempt without an answer, and what its instance did then."""

    incarnation: crash_signs.Incarnation
    instance: documents.Instance
    sign: crash_checks.Sign = crash_checks.Sign.NOT_CHECKED


class RequestWatch:
    """Follows one request from its arrival to its last byte."""

    def __init__(
        self,
        guard: request_guard.RequestGuard,
        scope: asgi.Scope,
        body: replay_body.ReplayBody,
        request_id: str,
    ) -> None:
        self._guard = guard
        self._body = body
        self._request_id = request_id
        self._target = asgi.read_target(scope)
        self._head = guard.hasher.digest_head(
            (
                scope["method"].encode(),
                self._target,
                *headers.identify_caller(scope["headers"]),
            )
        )
        self._unchecked: list[_Lost] = []
        self._unreported: list[_Lost] = []
        self._is_running = False
        self._is_trial = False

    @property
    def fingerprint(self) -> fingerprints.Fingerprint | None:
        """Return the fingerprint; None while the body's digest is open."""
        body = self._body.digest
        return None if body is None else self._fingerprint(body)

    async def admit(self, is_repeat: bool) -> request_policies.Refused | None:
        """Return the refusal of a request that must not be sent now.

        Reads the body if its digest decides. Raises the errors of
        :meth:`.replay_body.ReplayBody.read_ahead`.
        """
        if not self._guard.quarantine.is_known_head(self._head):
            return None
        await self._body.read_ahead()
        fingerprint = self._fingerprint(self._body.digest)
        self.stop_running()
        now = trio.current_time()
        quarantine = self._guard.quarantine
        decision = quarantine.admit(fingerprint, now, is_repeat)
        if isinstance(decision, quarantines.Held):
            return self._refuse(fingerprint, decision.retry_after)
        self._is_trial = decision.is_trial
        if decision.is_suspected:
            self._start_running(fingerprint)
        return None

    def recheck(self) -> request_policies.Refused | None:
        """Return the refusal of an admitted request that is held by now.

        Other VMs may have reported crashes while it waited for a slot.
        """
        fingerprint = self.fingerprint
        if self._is_trial or fingerprint is None:
            return None
        if not self._guard.quarantine.is_held(
            fingerprint, trio.current_time()
        ):
            return None
        return self._refuse(fingerprint, quarantines.MIN_RETRY_AFTER)

    @property
    def may_hedge(self) -> bool:
        """Return whether no crash is known under the request."""
        fingerprint = self.fingerprint
        return fingerprint is None or not (
            self._guard.quarantine.is_suspected(fingerprint)
        )

    def add_lost(self, service: str, instance: documents.Instance) -> None:
        """Record an attempt that ended without an answer."""
        incarnation = crash_signs.incarnation_of(service, instance)
        self._unchecked.append(_Lost(incarnation, instance))

    def record_refused(
        self, service: str, instance: documents.Instance
    ) -> None:
        """Record that an instance refused the connection."""
        self._guard.record_refused(
            crash_signs.incarnation_of(service, instance)
        )

    def record_answer(
        self,
        service: str,
        instance: documents.Instance,
        sent_at: float,
        succeeded: bool,
    ) -> None:
        """Record a complete answer to an attempt sent at a time."""
        self._guard.record_attempt(crashed=False)
        self._guard.record_answer(
            crash_signs.incarnation_of(service, instance), sent_at
        )
        fingerprint = self.fingerprint
        if succeeded and fingerprint is not None:
            self._guard.record_completion(fingerprint, self._request_id)

    async def settle(self, pool: connections.Connections) -> None:
        """Find out why attempts ended without an answer."""
        while self._unchecked:
            lost = self._unchecked[-1]
            sign = await self._guard.check_instance(
                pool, lost.incarnation, lost.instance
            )
            self._unchecked.remove(lost)
            self._guard.record_attempt(
                crashed=sign is crash_checks.Sign.REFUSED
            )
            self._unreported.append(lost._replace(sign=sign))
        self._report_lost()

    def close(self) -> None:
        """End the request; its body has been read as far as it came."""
        self.stop_running()
        self._unreported += self._unchecked
        self._unchecked = []
        self._report_lost(is_last=True)

    def stop_running(self) -> None:
        """End the attempts of a request under suspicion."""
        if self._is_running:
            self._is_running = False
            self._guard.quarantine.end_run(self.fingerprint)

    def _start_running(self, fingerprint: fingerprints.Fingerprint) -> None:
        quarantine = self._guard.quarantine
        suspect = quarantine.suspect(fingerprint)
        quarantine.start_run(fingerprint)
        self._is_running = True
        events.emit(
            events.SUSPECT_ADMITTED,
            request_id=self._request_id,
            **self._guard.describe(fingerprint),
            trials=suspect.trials,
        )

    def _report_lost(self, is_last: bool = False) -> None:
        """Record the lost attempts once the fingerprint is known."""
        if not self._unreported:
            return
        fingerprint = self.fingerprint
        if fingerprint is None and not is_last:
            return
        for lost in self._unreported:
            events.emit(
                events.ATTEMPT_UNANSWERED,
                request_id=self._request_id,
                fingerprint="" if fingerprint is None else str(fingerprint),
                sign=lost.sign.value,
                **lost.incarnation._asdict(),
            )
            if fingerprint is None:
                continue
            self._guard.record_lost(
                fingerprint, lost.incarnation, lost.sign, self._request_id
            )
            self._guard.remember_target(
                fingerprint, self._target.decode("latin-1")
            )
        self._unreported = []

    def _refuse(
        self, fingerprint: fingerprints.Fingerprint, retry_after: float
    ) -> request_policies.Refused:
        guard = self._guard
        guard.remember_target(fingerprint, self._target.decode("latin-1"))
        events.emit(
            events.REQUEST_HELD,
            request_id=self._request_id,
            **self._guard.describe(fingerprint),
            retry_after=round(retry_after, 2),
            seen_fraction=round(guard.quarantine.view.seen_fraction, 3),
        )
        return request_policies.Refused(
            outcomes.RefusalReason.QUARANTINED, retry_after
        )

    def _fingerprint(self, body: bytes) -> fingerprints.Fingerprint:
        return fingerprints.Fingerprint(self._head, body)
