"""Quarantine of requests that crash the instances that run them.

A request that crashes each instance comes again at any VM. What is remembered
of it is kept by its fingerprint: the incarnations that ended while they ran
it, and when it last ran to its end. From these follows the probability that
the request is the cause. An instance that crashes takes all its requests with
it, so one crash says little about any of them; a second and third one under
the same fingerprint, at other instances, say much. A request that has run to
its end is not the cause.

Above a probability the request is held: it is sent to no instance. A request
under suspicion is not hedged, not repeated and sent by a VM once at a time. A
held one gets few trials, on one VM of the fleet. docs/design/quarantine.md
explains this.
No I/O; times are in seconds, odds are natural logarithms.
"""

import collections
import math
import typing

from primrosemill.decisions import crash_background
from primrosemill.decisions import fingerprints
from primrosemill.decisions import home_vms

# Requests that crash instances are rare among all requests.
PRIOR_ODDS = math.log(1e-4)
# Weight of a completed run, and how long it says something about the next.
COMPLETION_ODDS = math.log(0.99 / 0.01)
COMPLETION_TIME = 60.0  # seconds
SUSPECTED_ABOVE = 0.1  # probability
# Probability above which a request is held. VMs behind a cut, and a fleet that
# has just started, may know of fewer crashes than there were, so they hold a
# request earlier: all sides of a cut together see few more crashes.
HELD_ABOVE = 0.9
HELD_ABOVE_IN_HALF = 0.1
HELD_ABOVE_IN_FRAGMENT = 0.001
HALF = 0.5  # of the fleet
FRAGMENT = 0.25  # of the fleet
CAUTIOUS_TIME = 30.0  # seconds after the start of the process
# Trials of a held request: after this time without a crash, and only up to a
# number of crashes, so that a request that is the cause gets a single one.
TRIAL_DELAY = 30.0  # seconds
MAX_CRASHES_FOR_TRIAL = 3
MAX_TRIALS = 2
# Time after its last arrival or crash after which a request is forgotten.
FORGET_TIME = 600.0  # seconds
MAX_SUSPECTS = 4_096
MAX_COMPLETED = 4_096
MAX_CRASHES = 8  # remembered of one request
MAX_WITHDRAWN = 1_000
BUSY_RETRY_AFTER = 1.0  # seconds; while this VM has sent the request once
MIN_RETRY_AFTER = 5.0  # seconds
MAX_RETRY_AFTER = 60.0  # seconds
# Interval at which one VM repeats what it knows to the others, and the time
# without a report after which any VM does.
REPEAT_INTERVAL = 5.0  # seconds
MAX_SILENCE = 1.5 * REPEAT_INTERVAL
MAX_REPEATED = 64  # requests
# Time for which a single crash, and the end of a suspicion, are repeated.
SHORT_REPEAT_TIME = 3.0 * REPEAT_INTERVAL
# Shortest time between two corrections of reports on one request.
MIN_REPLY_INTERVAL = 0.5  # seconds
# VMs that tell a VM that has just started of a single crash.
NEWCOMER_TELLERS = 3


class Crash(typing.NamedTuple):
    """The end of one incarnation; ``id`` is a digest that names it."""

    id: bytes
    at: float


class Report(typing.NamedTuple):
    """What a VM knows of one request.

    Crashes up to ``cleared_at`` don't count: the request ran to its end then,
    or an operator released it. -inf stands for never.
    """

    fingerprint: fingerprints.Fingerprint
    crashes: tuple[Crash, ...]
    cleared_at: float
    arrived_at: float


class Merged(typing.NamedTuple):
    """Whether a report was new, and whether its sender has to be told more.

    What it lacks is not told again at once.
    """

    is_new: bool
    is_incomplete: bool


class View(typing.NamedTuple):
    """What a VM knows of its fleet.

    ``vm_ids`` are the entry points, of which one runs the trials and informs
    the others. ``started_at`` is the start of this process.
    """

    vm_ids: tuple[str, ...] = ()
    seen_fraction: float = 1.0
    started_at: float = -math.inf


class Admitted(typing.NamedTuple):
    """The request may be sent.

    ``is_suspected`` if the VM must send it only once at a time, ``is_trial``
    if it is held apart from that.
    """

    is_suspected: bool = False
    is_trial: bool = False


class Held(typing.NamedTuple):
    """The request must not run; ``retry_after`` is in seconds."""

    retry_after: float


class Suspect:
    """What is known of one request, and its runs on this VM.

    ``odds_by_crash`` holds the weight of each crash when it was learned.
    """

    __slots__ = (
        "arrived_at",
        "cleared_at",
        "crashed_at_by_id",
        "heard_at",
        "odds_by_crash",
        "replied_at",
        "running",
        "trials",
        "tried_at",
    )

    def __init__(self, now: float) -> None:
        self.crashed_at_by_id: dict[bytes, float] = {}
        self.odds_by_crash: dict[bytes, float] = {}
        self.cleared_at = -math.inf
        self.arrived_at = now
        self.heard_at = now
        self.replied_at = -math.inf
        self.running = 0
        self.trials = 0
        self.tried_at = -math.inf

    @property
    def crashed_at(self) -> float:
        """Return the time of the last crash, or -inf."""
        return max(self.crashed_at_by_id.values(), default=-math.inf)

    @property
    def last_event_at(self) -> float:
        """Return the time after which the request may be forgotten."""
        return max(self.crashed_at, self.arrived_at, self.cleared_at)


def odds_to_probability(odds: float) -> float:
    """Return the probability of natural log odds."""
    return 1.0 / (1.0 + math.exp(-odds))


class Quarantine:
    """The requests that one VM suspects or holds."""

    def __init__(self, vm_id: str = "") -> None:
        self.view = View()
        self.background = crash_background.Background()
        self._vm_id = vm_id
        self._suspects: dict[fingerprints.Fingerprint, Suspect] = {}
        self._counts_by_head: collections.Counter[bytes] = (
            collections.Counter()
        )
        self._fingerprints_by_crash: dict[
            bytes, set[fingerprints.Fingerprint]
        ] = {}
        # In order of the latest completion.
        self._completed_at: dict[fingerprints.Fingerprint, float] = {}
        self._withdrawn: dict[bytes, None] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def suspect(self, fingerprint: fingerprints.Fingerprint) -> Suspect | None:
        """Return what is known of a request, or None."""
        return self._suspects.get(fingerprint)

    def is_known_head(self, head: bytes) -> bool:
        """Return whether something is known of a request with this head."""
        return head in self._counts_by_head

    def probability(
        self, fingerprint: fingerprints.Fingerprint, now: float
    ) -> float:
        """Return the probability that a request crashes its instances."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return odds_to_probability(PRIOR_ODDS)
        odds = sum(
            weight
            for crash_id, weight in suspect.odds_by_crash.items()
            if not self._is_explained(crash_id, fingerprint, now)
        )
        return odds_to_probability(
            PRIOR_ODDS + odds - self._completion_odds(fingerprint, now)
        )

    def admit(
        self,
        fingerprint: fingerprints.Fingerprint,
        now: float,
        is_repeat: bool = False,
    ) -> Admitted | Held:
        """Decide whether a request may be sent to an instance now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Admitted()
        suspect.arrived_at = now
        probability = self.probability(fingerprint, now)
        if probability > self._held_above(now):
            if is_repeat or not self._is_trial_due(fingerprint, suspect, now):
                return Held(self._retry_after(suspect, now))
            suspect.tried_at = now
            suspect.trials += 1
            return Admitted(is_suspected=True, is_trial=True)
        if probability <= SUSPECTED_ABOVE:
            return Admitted()
        if is_repeat or suspect.running:
            return Held(BUSY_RETRY_AFTER)
        return Admitted(is_suspected=True)

    def is_held(
        self, fingerprint: fingerprints.Fingerprint, now: float
    ) -> bool:
        """Return whether a request is held, apart from trials."""
        return fingerprint in self._suspects and self.probability(
            fingerprint, now
        ) > self._held_above(now)

    def is_suspected(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether any crash is known under a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.crashed_at_by_id)

    def start_run(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Count a run of a suspected request on this VM."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.running += 1

    def end_run(self, fingerprint: fingerprints.Fingerprint) -> None:
        """End a run that :meth:`start_run` counted."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.running = max(0, suspect.running - 1)

    def record_crash(
        self,
        fingerprint: fingerprints.Fingerprint,
        crash: Crash,
        now: float,
    ) -> bool:
        """Record that an incarnation crashed while it ran a request.

        Returns whether this was not known.
        """
        if crash.id in self._withdrawn:
            return False
        suspect = self._find_or_add(fingerprint, now)
        if (
            crash.id in suspect.crashed_at_by_id
            or crash.at <= suspect.cleared_at
            or len(suspect.crashed_at_by_id) >= MAX_CRASHES
        ):
            return False
        suspect.crashed_at_by_id[crash.id] = crash.at
        suspect.odds_by_crash[crash.id] = self.background.crash_odds
        self._fingerprints_by_crash.setdefault(crash.id, set()).add(
            fingerprint
        )
        return True

    def record_completion(
        self, fingerprint: fingerprints.Fingerprint, now: float
    ) -> bool:
        """Record that an instance ran a request to its end.

        Returns whether the request was under suspicion.
        """
        self._completed_at.pop(fingerprint, None)
        if len(self._completed_at) >= MAX_COMPLETED:
            del self._completed_at[next(iter(self._completed_at))]
        self._completed_at[fingerprint] = now
        return self._clear(fingerprint, now)

    def release(
        self, fingerprint: fingerprints.Fingerprint, now: float
    ) -> bool:
        """Drop the suspicion against a request; return whether there was one.

        It applies to all crashes so far.
        """
        return self._clear(fingerprint, now)

    def withdraw(self, crash_id: bytes) -> None:
        """Drop a crash as evidence: the incarnation has answered since."""
        if len(self._withdrawn) >= MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]
        self._withdrawn[crash_id] = None
        for fingerprint in self._fingerprints_by_crash.get(crash_id, ()):
            suspect = self._suspects[fingerprint]
            del suspect.crashed_at_by_id[crash_id]
            del suspect.odds_by_crash[crash_id]
        self._fingerprints_by_crash.pop(crash_id, None)

    def report(self, fingerprint: fingerprints.Fingerprint) -> Report | None:
        """Return what is known of a request, or None."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        crashes = tuple(
            Crash(*item) for item in suspect.crashed_at_by_id.items()
        )
        cleared_at = max(
            suspect.cleared_at, self._completed_at.get(fingerprint, -math.inf)
        )
        return Report(fingerprint, crashes, cleared_at, suspect.arrived_at)

    def merge(self, report: Report, now: float) -> Merged:
        """Add what another VM knows of a request to what is known here."""
        fingerprint = report.fingerprint
        is_new = False
        for crash in report.crashes:
            if crash.at > report.cleared_at:
                is_new |= self.record_crash(fingerprint, crash, now)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Merged(False, False)
        if report.cleared_at > suspect.cleared_at:
            is_new |= self._clear(fingerprint, report.cleared_at)
        suspect.arrived_at = max(suspect.arrived_at, report.arrived_at)
        own = self.report(fingerprint)
        known_ids = {crash.id for crash in report.crashes}
        lacks_crashes = len(known_ids) < MAX_CRASHES and any(
            crash.id not in known_ids for crash in own.crashes
        )
        lacks_end = own.cleared_at > max(
            report.cleared_at, now - COMPLETION_TIME
        )
        if not lacks_crashes and not lacks_end:
            suspect.heard_at = now
            return Merged(is_new, False)
        if now - suspect.replied_at < MIN_REPLY_INTERVAL:
            return Merged(is_new, False)
        suspect.replied_at = now
        return Merged(is_new, True)

    def suspected(self) -> list[fingerprints.Fingerprint]:
        """Return the requests under which any crash is known."""
        return [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.crashed_at_by_id
        ]

    def reports_to_repeat(self, now: float) -> list[Report]:
        """Return what this VM has to repeat to the others now."""
        reports = []
        for fingerprint, suspect in self._suspects.items():
            if not self._is_repeated(suspect, now):
                continue
            is_silent = now - suspect.heard_at >= MAX_SILENCE
            if is_silent or self._rank(fingerprint) == 0:
                reports.append(self.report(fingerprint))
        reports.sort(key=lambda report: len(report.crashes), reverse=True)
        return reports[:MAX_REPEATED]

    def reports_for_newcomer(self, vm_id: str) -> list[Report]:
        """Return what this VM has to tell a VM that has just started.

        Of several crashes every VM tells it, as those that the newcomer meets
        first may be any; of one crash only some do.
        """
        return [
            self.report(fingerprint)
            for fingerprint, suspect in self._suspects.items()
            if len(suspect.crashed_at_by_id) > 1
            or self._rank(fingerprint, vm_id) < NEWCOMER_TELLERS
        ]

    def forget_old(self, now: float) -> list[fingerprints.Fingerprint]:
        """Forget requests that have not come for a long time."""
        forgotten = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.last_event_at > FORGET_TIME
        ]
        for fingerprint in forgotten:
            self._remove(fingerprint)
        return forgotten

    def _is_repeated(self, suspect: Suspect, now: float) -> bool:
        """Return whether the other VMs have to be kept informed."""
        if len(suspect.crashed_at_by_id) > 1:
            return True
        last_news_at = max(suspect.crashed_at, suspect.cleared_at)
        return now - last_news_at <= SHORT_REPEAT_TIME

    def _clear(self, fingerprint: fingerprints.Fingerprint, at: float) -> bool:
        """Drop the crashes of a request up to a time."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        suspect.cleared_at = max(suspect.cleared_at, at)
        cleared_ids = [
            crash_id
            for crash_id, crashed_at in suspect.crashed_at_by_id.items()
            if crashed_at <= at
        ]
        for crash_id in cleared_ids:
            del suspect.crashed_at_by_id[crash_id]
            del suspect.odds_by_crash[crash_id]
            self._unlink(fingerprint, crash_id)
        return bool(cleared_ids)

    def _completion_odds(
        self, fingerprint: fingerprints.Fingerprint, now: float
    ) -> float:
        """Return the weight of the latest completed run of any VM."""
        completed_at = max(
            self._completed_at.get(fingerprint, -math.inf),
            self._suspects[fingerprint].cleared_at,
        )
        return COMPLETION_ODDS if now - completed_at < COMPLETION_TIME else 0.0

    def _is_explained(
        self,
        crash_id: bytes,
        fingerprint: fingerprints.Fingerprint,
        now: float,
    ) -> bool:
        """Return whether another request is the cause of a crash.

        That one has crashed more instances, enough to be held.
        """
        own_count = len(self._suspects[fingerprint].crashed_at_by_id)
        for other in self._fingerprints_by_crash.get(crash_id, ()):
            suspect = self._suspects[other]
            if len(suspect.crashed_at_by_id) <= own_count:
                continue
            odds = PRIOR_ODDS + sum(suspect.odds_by_crash.values())
            odds -= self._completion_odds(other, now)
            if odds_to_probability(odds) > HELD_ABOVE:
                return True
        return False

    def _held_above(self, now: float) -> float:
        if self.view.seen_fraction <= FRAGMENT:
            return HELD_ABOVE_IN_FRAGMENT
        if (
            self.view.seen_fraction <= HALF
            or now - self.view.started_at < CAUTIOUS_TIME
        ):
            return HELD_ABOVE_IN_HALF
        return HELD_ABOVE

    def _is_trial_due(
        self,
        fingerprint: fingerprints.Fingerprint,
        suspect: Suspect,
        now: float,
    ) -> bool:
        return (
            now >= _trial_due_at(suspect)
            and not suspect.running
            and self.view.seen_fraction >= 1.0
            and self._rank(fingerprint) == 0
        )

    def _retry_after(self, suspect: Suspect, now: float) -> float:
        due_in = _trial_due_at(suspect) - now
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, due_in))

    def _rank(
        self, fingerprint: fingerprints.Fingerprint, excluded_id: str = ""
    ) -> int:
        """Return the rank of this VM among the entry points for a request."""
        seed = int.from_bytes(fingerprint.head[:8], "big")
        own_weight = home_vms.rendezvous_weight(seed, self._vm_id)
        if self.view.vm_ids and self._vm_id not in self.view.vm_ids:
            return len(self.view.vm_ids)
        return sum(
            home_vms.rendezvous_weight(seed, vm_id) > own_weight
            for vm_id in self.view.vm_ids
            if vm_id not in (self._vm_id, excluded_id)
        )

    def _find_or_add(
        self, fingerprint: fingerprints.Fingerprint, now: float
    ) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            return suspect
        if len(self._suspects) >= MAX_SUSPECTS:
            self._remove(self._least_suspected())
        self._counts_by_head[fingerprint.head] += 1
        suspect = self._suspects[fingerprint] = Suspect(now)
        return suspect

    def _least_suspected(self) -> fingerprints.Fingerprint:
        """Return the oldest request with one crash at most, or the oldest."""
        for fingerprint, suspect in self._suspects.items():
            if len(suspect.crashed_at_by_id) <= 1:
                return fingerprint
        return next(iter(self._suspects))

    def _remove(self, fingerprint: fingerprints.Fingerprint) -> None:
        suspect = self._suspects.pop(fingerprint)
        for crash_id in suspect.crashed_at_by_id:
            self._unlink(fingerprint, crash_id)
        self._counts_by_head[fingerprint.head] -= 1
        if not self._counts_by_head[fingerprint.head]:
            del self._counts_by_head[fingerprint.head]

    def _unlink(
        self, fingerprint: fingerprints.Fingerprint, crash_id: bytes
    ) -> None:
        linked = self._fingerprints_by_crash.get(crash_id)
        if linked is None:
            return
        linked.discard(fingerprint)
        if not linked:
            del self._fingerprints_by_crash[crash_id]


def _trial_due_at(suspect: Suspect) -> float:
    """Return when a held request may get a trial; inf for never."""
    if (
        len(suspect.crashed_at_by_id) > MAX_CRASHES_FOR_TRIAL
        or suspect.trials >= MAX_TRIALS
    ):
        return math.inf
    return max(suspect.crashed_at, suspect.tried_at) + TRIAL_DELAY
