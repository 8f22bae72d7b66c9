"""Detects gray instances of one service on one VM.

The proxy tells the detector of each attempt and ticks it some ten times a
second; the exchange brings peers' reports. The detector returns standings
that the slots obey, its own report, and which instances to try or probe.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import deciding
from primrosemill.decisions import drains
from primrosemill.decisions import evidence
from primrosemill.decisions import homes as home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import peers
from primrosemill.decisions import probing
from primrosemill.decisions import returns
from primrosemill.decisions import signs
from primrosemill.decisions import standings
from primrosemill.decisions import suspicion
from primrosemill.decisions import thresholds

TICK_INTERVAL = 0.1  # seconds between two ticks, as the proxy should run.
OPINION_INTERVAL = 0.125  # seconds between two requests for an opinion
FIRST_COLD_SHARE = 0.2
COLD_STEPS = 5


class Detector:
    """Watches the instances of one service from one VM."""

    def __init__(
        self, own: home_vms.Vm, service: documents.Service, now: float
    ) -> None:
        self._limits = thresholds.from_weight(service.detection_weight)
        self._board = suspicion.Scoreboard(self._limits, now)
        self._peers = peers.Peers(own)
        self._decider = deciding.Decider(self._board, self._peers, now)
        self._drains = drains.DrainSigns()
        self._probes = probing.Schedule()
        self._led: frozenset[str] = frozenset()
        self._suspected: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._changed_by_id: dict[str, standings.Standing] = {}
        self._next_opinion = now
        self._remarkable: set[str] = set()
        self.standings_by_id: dict[str, standings.Standing] = {}
        self._take_service(service)

    def set_service(self, service: documents.Service, now: float) -> None:
        """Take a new revision; instances that are new in it start cold."""
        known = set(self.standings_by_id)
        self._take_service(service)
        for instance in service.instances:
            if instance.id not in known:
                self._board.warm_up(instance.id)
        self._find_leaving(now)

    def set_homes(
        self,
        homes: typing.Sequence[home_vms.Vm],
        led: typing.Iterable[str],
        now: float,
    ) -> None:
        """Take the home VMs in rank order and the instances led by this one.

        A VM that becomes the owner of ejections first hears every peer.
        """
        self._led = frozenset(led)
        if self._peers.set_homes(homes):
            self._decider.settle(now)

    def started(self, instance_id: str, attempt_id: str, now: float) -> None:
        """Note an attempt in flight."""
        self._board.started(instance_id, attempt_id, now)

    def finished(
        self, attempt_id: str, outcome: outcomes.Outcome, now: float
    ) -> None:
        """Take in how an attempt ended."""
        ended = self._board.finished(attempt_id, outcome, now)
        if ended is None or ended.sign is signs.Sign.NONE:
            return
        trials = self._decider.rotation
        if trials.in_trial(ended.instance_id):
            trials.note_trial(ended.instance_id, ended.ratio)

    def heard(self, report: evidence.Report, now: float) -> bool:
        """Take a peer's report; return False if it carries no weight."""
        if report.service != self._service.name:
            return False
        if not self._peers.take(report, now):
            return False
        self._find_leaving(now)
        self._hear_suspicions(now)
        return True

    def saw_draining(self, instance_id: str, now: float) -> None:
        """Note a sign that an instance is leaving; it counts at once."""
        if instance_id not in self.standings_by_id:
            return
        self._drains.see(instance_id, now)
        self._find_leaving(now)

    def probed(
        self, instance_id: str, healthy: bool, draining: bool, now: float
    ) -> None:
        """Take in a probe; that it was answered well is no evidence."""
        if draining:
            self.saw_draining(instance_id, now)
        elif not healthy:
            self._board.failed_probe(instance_id)
        elif self._drains.see_none(instance_id, now):
            self._board.warm_up(instance_id)

    def tick(self, now: float) -> dict[str, standings.Standing]:
        """Decide anew and return the standings that changed."""
        self._board.tick(now)
        if self._board.take_pause():
            self._decider.settle(now)
        self._find_leaving(now)
        self._decider.decide(self._leaving, now)
        for instance_id in self._unsettled(now):
            self._publish(instance_id, now)
        changed = self._changed_by_id
        self._changed_by_id = {}
        return changed

    def report(self) -> evidence.Report:
        """Return this VM's evidence on every instance, for its peers.

        The exchange sends what changed and what matters.
        """
        entries = []
        for instance_id, standing in self.standings_by_id.items():
            state = standing.state
            if instance_id in self._decider.opinions:
                state = standings.State.RANKED_LAST
            entry = self._decider.evidence_of(instance_id, state)
            # Nobody asks whether an instance is well that nobody suspects.
            well = entry.well and instance_id in self._suspected
            seen = self._drains.seen(instance_id)
            entries.append(entry._replace(draining=seen, well=well))
        own = self._peers.own
        return evidence.Report(
            own.id, own.domain, self._service.name, tuple(entries)
        )

    def due_trial(self, now: float) -> str | None:
        """Return the instance that the next idempotent request should try.

        It is one on its way back, or one that a peer suspects and this VM
        knows too little of. The caller sends one such request to it.
        """
        instance_id = self._decider.rotation.next_trial(now)
        if instance_id is not None:
            return instance_id
        if now < self._next_opinion:
            return None
        instance_id = self._due_opinion()
        if instance_id is not None:
            self._next_opinion = now + OPINION_INTERVAL
        return instance_id

    def due_probes(self, now: float) -> tuple[probing.Probe, ...]:
        """Return what to probe now: instances led or seen draining."""
        wanted = self._led | self._drains.all_seen()
        recent_by_id = {
            instance_id: self._board.records_by_id[instance_id].recent
            for instance_id in wanted & self.standings_by_id.keys()
        }
        return self._probes.due(self._service, recent_by_id, now)

    def _take_service(self, service: documents.Service) -> None:
        self._service = service
        self._limits = thresholds.from_weight(service.detection_weight)
        self._board.configure(self._limits, service.cold_start)
        self._decider.configure(self._limits, service.floor)
        instances_by_id = {each.id: each for each in service.instances}
        self._board.set_instances(instances_by_id)
        self._decider.keep(instances_by_id)
        self._drains.set_instances(service.instances)
        self._document_leaving = frozenset(
            each.id for each in service.instances if each.leaving
        )
        self.standings_by_id = {
            instance_id: self.standings_by_id.get(
                instance_id, standings.HEALTHY
            )
            for instance_id in instances_by_id
        }

    def _find_leaving(self, now: float) -> None:
        """Gather every sign of leaving; a new one takes effect at once."""
        before = self._leaving
        leaving = (
            self._document_leaving
            | self._drains.all_seen()
            | self._peers.draining(now, drains.MEMORY)
        )
        self._leaving = leaving & self.standings_by_id.keys()
        for instance_id in self._leaving - before:
            self._publish(instance_id, now)

    def _hear_suspicions(self, now: float) -> None:
        """Form an opinion anew on what a peer starts to suspect."""
        suspected = self._peers.suspected(now, self._limits.support)
        for instance_id in suspected - self._suspected:
            self._board.restart_opinion(instance_id)
        self._suspected = suspected

    def _due_opinion(self) -> str | None:
        for instance_id in sorted(self._decider.opinions):
            if not self._board.records_by_id[instance_id].in_flight:
                return instance_id
        return None

    def _unsettled(self, now: float) -> set[str]:
        """Return the instances that are or were not simply in rotation."""
        unsettled = self._remarkable & self.standings_by_id.keys()
        unsettled |= self._leaving
        unsettled |= self._board.cold()
        unsettled |= self._decider.rotation.cases_by_id.keys()
        unsettled |= self._decider.ranked_last(now)
        unsettled |= self._decider.opinions
        return unsettled

    def _publish(self, instance_id: str, now: float) -> None:
        standing = self._standing(instance_id, now)
        before = self.standings_by_id[instance_id]
        self.standings_by_id[instance_id] = standing
        if standing is standings.HEALTHY:
            self._remarkable.discard(instance_id)
        else:
            self._remarkable.add(instance_id)
        if (standing.state, standing.share) != (before.state, before.share):
            self._changed_by_id[instance_id] = standing

    def _standing(self, instance_id: str, now: float) -> standings.Standing:
        rotation = self._decider.rotation
        score = self._board.records_by_id[instance_id].score
        state = standings.State.IN_ROTATION
        reason = ""
        share = 1.0
        case = rotation.cases_by_id.get(instance_id)
        if instance_id in self._leaving:
            state, reason, share = standings.State.DRAINING, "leaving", 0.0
        elif case is not None:
            state, reason, share = case.state, case.reason, 0.0
            score = max(score, case.score)
            if rotation.in_trial(instance_id):
                state = standings.State.TRIAL
        elif instance_id in self._decider.opinions:
            state, reason = standings.State.TRIAL, "second opinion"
            share = 0.0
        elif instance_id in self._decider.ranked_last(now):
            state, reason = standings.State.RANKED_LAST, "suspect"
        elif instance_id in self._board.cold():
            state, reason = standings.State.COLD, "started lately"
            share = _cold_share(self._board.warmth(instance_id))
        else:
            share = returns.share_at(rotation.record(instance_id), now)
            if share >= 1.0:
                return standings.HEALTHY
        return standings.Standing(state, score, reason, share)


def _cold_share(warmth: float) -> float:
    step = int(warmth * COLD_STEPS) / COLD_STEPS
    return FIRST_COLD_SHARE + (1.0 - FIRST_COLD_SHARE) * step
