"""Detects gray failures of the instances of one service on one VM.

The proxy reports the start and the end of each attempt and calls
:meth:`Detector.tick` about ten times a second. The evidence exchange passes
in the reports of the other home VMs, the few entry VMs assigned to the
service. The detector returns the standings by which slots are granted, this
VM's own report, and the instances that need a trial request or a probe.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import drain_signs
from primrosemill.decisions import evidence
from primrosemill.decisions import health_signals
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import peer_reports
from primrosemill.decisions import probe_schedule
from primrosemill.decisions import removal_history
from primrosemill.decisions import rotation_control
from primrosemill.decisions import scoreboard
from primrosemill.decisions import standings
from primrosemill.decisions import thresholds

TICK_INTERVAL = 0.1  # seconds at which the caller should call tick()
# Seconds between two requests to instances that only a peer suspects.
SECOND_OPINION_INTERVAL = 0.125
INITIAL_COLD_SHARE = 0.2  # of the slots, for an instance that just started
COLD_SHARE_STEPS = 5  # steps from the initial share to all slots


class Detector:
    """Detects sick instances of one service as seen from one VM.

    The first home VM in rank order, the owner, decides on ejections for all
    of them. Each instance has a lead, the home VM that probes it and has
    first claim to its slots.
    """

    def __init__(
        self, own_vm: home_vms.Vm, service: documents.Service, now: float
    ) -> None:
        self._thresholds = thresholds.from_weight(service.detection_weight)
        self._scoreboard = scoreboard.Scoreboard(self._thresholds, now)
        self._peer_reports = peer_reports.PeerReports(own_vm)
        self._controller = rotation_control.RotationController(
            self._scoreboard, self._peer_reports, now
        )
        self._drain_signs = drain_signs.DrainSigns()
        self._probe_schedule = probe_schedule.Schedule()
        self._led_ids: frozenset[str] = frozenset()
        self._suspected_by_peers: frozenset[str] = frozenset()
        self._leaving_ids: frozenset[str] = frozenset()
        self._pending_changes_by_id: dict[str, standings.Standing] = {}
        self._next_second_opinion = now
        self._not_healthy_ids: set[str] = set()
        self.standings_by_id: dict[str, standings.Standing] = {}
        self._apply_service(service)

    def set_service(self, service: documents.Service, now: float) -> None:
        """Apply a new revision of the service; its new instances are cold."""
        known_ids = set(self.standings_by_id)
        self._apply_service(service)
        for instance in service.instances:
            if instance.id not in known_ids:
                self._scoreboard.mark_cold(instance.id)
        self._update_leaving(now)

    def set_homes(
        self,
        homes: typing.Sequence[home_vms.Vm],
        led_ids: typing.Iterable[str],
        now: float,
    ) -> None:
        """Set the home VMs in rank order and the instances that this VM leads.

        A VM that becomes the owner of ejections waits for a report from
        every peer before it ejects anything.
        """
        self._led_ids = frozenset(led_ids)
        if self._peer_reports.set_homes(homes):
            self._controller.require_new_reports(now)

    def record_start(
        self, instance_id: str, attempt_id: str, now: float
    ) -> None:
        """Record the start of an attempt."""
        self._scoreboard.record_start(instance_id, attempt_id, now)

    def record_outcome(
        self, attempt_id: str, outcome: outcomes.Outcome, now: float
    ) -> None:
        """Record the outcome of an attempt."""
        result = self._scoreboard.record_end(attempt_id, outcome, now)
        if result is None or result.signal is health_signals.HealthSignal.NONE:
            return
        rotation = self._controller.rotation
        if rotation.in_trial(result.instance_id):
            rotation.record_trial_evidence(result.instance_id, result.ratio)

    def receive_report(self, report: evidence.Report, now: float) -> bool:
        """Apply a peer's report; return False if it was ignored.

        Reports on other services and from VMs that are not home to this
        service are ignored.
        """
        if report.service != self._service.name:
            return False
        if not self._peer_reports.receive(report, now):
            return False
        self._update_leaving(now)
        self._update_suspicions(now)
        return True

    def record_draining(self, instance_id: str, now: float) -> None:
        """Record a sign that an instance is leaving; it takes effect now."""
        if instance_id not in self.standings_by_id:
            return
        self._drain_signs.record(instance_id, now)
        self._update_leaving(now)

    def record_probe(
        self, instance_id: str, healthy: bool, draining: bool, now: float
    ) -> None:
        """Record the result of a probe.

        A successful probe is not evidence of health: a gray instance may
        pass its health check and still fail requests.
        """
        if draining:
            self.record_draining(instance_id, now)
        elif not healthy:
            self._scoreboard.record_failed_probe(instance_id)
        elif self._drain_signs.record_absence(instance_id, now):
            self._scoreboard.mark_cold(instance_id)

    def tick(self, now: float) -> dict[str, standings.Standing]:
        """Update all decisions and return the standings that changed."""
        self._scoreboard.tick(now)
        if self._scoreboard.consume_pause():
            self._controller.require_new_reports(now)
        self._update_leaving(now)
        self._controller.decide(self._leaving_ids, now)
        for instance_id in self._ids_to_update(now):
            self._update_standing(instance_id, now)
        changed = self._pending_changes_by_id
        self._pending_changes_by_id = {}
        return changed

    def report(self) -> evidence.Report:
        """Return this VM's evidence on every instance, for its peers.

        The evidence exchange selects the entries that are worth sending.
        """
        entries = []
        for instance_id, standing in self.standings_by_id.items():
            state = standing.state
            if instance_id in self._controller.second_opinions:
                state = standings.State.RANKED_LAST
            entry = self._controller.evidence_of(instance_id, state)
            # Peers use this flag only for instances that one of them suspects.
            well = entry.well and instance_id in self._suspected_by_peers
            draining = self._drain_signs.is_draining(instance_id)
            entries.append(entry._replace(draining=draining, well=well))
        own_vm = self._peer_reports.own_vm
        return evidence.Report(
            own_vm.id, own_vm.domain, self._service.name, tuple(entries)
        )

    def next_trial_instance(self, now: float) -> str | None:
        """Return the instance that the next idempotent request should try.

        That is an instance in its trial after a removal, or one that a peer
        avoids and that this VM has too little evidence on. The caller must
        send one such request to it.
        """
        instance_id = self._controller.rotation.due_trial_request(now)
        if instance_id is not None:
            return instance_id
        if now < self._next_second_opinion:
            return None
        instance_id = self._due_second_opinion()
        if instance_id is not None:
            self._next_second_opinion = now + SECOND_OPINION_INTERVAL
        return instance_id

    def due_probes(self, now: float) -> tuple[probe_schedule.Probe, ...]:
        """Return the probes that are due, of instances led or draining."""
        ids_to_probe = self._led_ids | self._drain_signs.draining_ids()
        recent_by_id = {
            instance_id: self._scoreboard.records_by_id[
                instance_id
            ].recent_attempts
            for instance_id in ids_to_probe & self.standings_by_id.keys()
        }
        return self._probe_schedule.due(self._service, recent_by_id, now)

    def _apply_service(self, service: documents.Service) -> None:
        self._service = service
        self._thresholds = thresholds.from_weight(service.detection_weight)
        self._scoreboard.configure(self._thresholds, service.cold_start)
        self._controller.configure(self._thresholds, service.floor)
        instances_by_id = {each.id: each for each in service.instances}
        self._scoreboard.set_instances(instances_by_id)
        self._controller.keep_only(instances_by_id)
        self._drain_signs.set_instances(service.instances)
        self._leaving_in_document = frozenset(
            each.id for each in service.instances if each.leaving
        )
        self.standings_by_id = {
            instance_id: self.standings_by_id.get(
                instance_id, standings.HEALTHY
            )
            for instance_id in instances_by_id
        }

    def _update_leaving(self, now: float) -> None:
        """Update the leaving instances; new ones take effect at once."""
        previous = self._leaving_ids
        leaving = (
            self._leaving_in_document
            | self._drain_signs.draining_ids()
            | self._peer_reports.reported_draining(
                now, drain_signs.SIGN_LIFETIME
            )
        )
        self._leaving_ids = leaving & self.standings_by_id.keys()
        for instance_id in self._leaving_ids - previous:
            self._update_standing(instance_id, now)

    def _update_suspicions(self, now: float) -> None:
        """Restart the health test of instances that a peer now suspects."""
        suspected = self._peer_reports.suspected_by_peers(
            now, self._thresholds.confirmation
        )
        for instance_id in suspected - self._suspected_by_peers:
            self._scoreboard.restart_health_test(instance_id)
        self._suspected_by_peers = suspected

    def _due_second_opinion(self) -> str | None:
        for instance_id in sorted(self._controller.second_opinions):
            if not self._scoreboard.records_by_id[instance_id].in_flight:
                return instance_id
        return None

    def _ids_to_update(self, now: float) -> set[str]:
        """Return the instances whose standing is not HEALTHY or may change."""
        ids = self._not_healthy_ids & self.standings_by_id.keys()
        ids |= self._leaving_ids
        ids |= self._scoreboard.cold_ids()
        ids |= self._controller.rotation.removals_by_id.keys()
        ids |= self._controller.ranked_last(now)
        ids |= self._controller.second_opinions
        return ids

    def _update_standing(self, instance_id: str, now: float) -> None:
        standing = self._compute_standing(instance_id, now)
        previous = self.standings_by_id[instance_id]
        self.standings_by_id[instance_id] = standing
        if standing is standings.HEALTHY:
            self._not_healthy_ids.discard(instance_id)
        else:
            self._not_healthy_ids.add(instance_id)
        if (standing.state, standing.share) != (
            previous.state,
            previous.share,
        ):
            self._pending_changes_by_id[instance_id] = standing

    def _compute_standing(
        self, instance_id: str, now: float
    ) -> standings.Standing:
        rotation = self._controller.rotation
        score = self._scoreboard.records_by_id[instance_id].score
        state = standings.State.IN_ROTATION
        reason = ""
        share = 1.0
        removal = rotation.removals_by_id.get(instance_id)
        if instance_id in self._leaving_ids:
            state, reason, share = standings.State.DRAINING, "leaving", 0.0
        elif removal is not None:
            state, reason, share = removal.state, removal.reason, 0.0
            score = max(score, removal.score)
            if rotation.in_trial(instance_id):
                state = standings.State.TRIAL
        elif instance_id in self._controller.second_opinions:
            state, reason = standings.State.TRIAL, "second opinion"
            share = 0.0
        elif instance_id in self._controller.ranked_last(now):
            state, reason = standings.State.RANKED_LAST, "suspect"
        elif instance_id in self._scoreboard.cold_ids():
            state, reason = standings.State.COLD, "started lately"
            share = _cold_share(
                self._scoreboard.cold_start_progress(instance_id)
            )
        else:
            share = removal_history.slot_share(
                rotation.history(instance_id), now
            )
            if share >= 1.0:
                return standings.HEALTHY
        return standings.Standing(state, score, reason, share)


def _cold_share(progress: float) -> float:
    step = int(progress * COLD_SHARE_STEPS) / COLD_SHARE_STEPS
    return INITIAL_COLD_SHARE + (1.0 - INITIAL_COLD_SHARE) * step
