"""Controls which instances of one service a VM takes out of rotation.

The decisions follow from this VM's scores and from the reports of the other
home VMs of the service. A home VM may avoid an instance by itself. Only the
owner, the first home VM in rank order, may eject one for all of them.
"""

from primrosemill.decisions import ejection
from primrosemill.decisions import evidence
from primrosemill.decisions import peer_reports
from primrosemill.decisions import removal_history
from primrosemill.decisions import rotation
from primrosemill.decisions import scoreboard as scoreboards
from primrosemill.decisions import standings
from primrosemill.decisions import thresholds
from primrosemill.decisions import verdicts

# With more than this share of the instances suspect, the fault is taken to be
# in the whole service, and this VM removes no further instance by itself.
SERVICE_WIDE_SHARE = 0.5
# Seconds that an instance stays ranked last after the reason is gone.
RANKED_LAST_HOLD = 0.5
NO_INSTANCES: frozenset[str] = frozenset()


class RotationController:
    """Removes and restores the instances of one service on one VM.

    ``second_opinions`` are the instances that a peer avoids and that this VM
    sends only trial requests until it has evidence of its own.
    """

    def __init__(
        self,
        scoreboard: scoreboards.Scoreboard,
        reports: peer_reports.PeerReports,
        now: float,
    ) -> None:
        self._scoreboard = scoreboard
        self._peer_reports = reports
        self._thresholds = thresholds.from_weight(0.0)
        self._floor = 0
        self._reports_needed_after = now + 2.0 * peer_reports.MAX_REPORT_AGE
        self._service_wide = False
        self._ranked_until_by_id: dict[str, float] = {}
        self.second_opinions: frozenset[str] = NO_INSTANCES
        self.rotation = rotation.Rotation()

    def configure(
        self, score_thresholds: thresholds.Thresholds, floor: int
    ) -> None:
        """Set the score thresholds and the floor of healthy instances."""
        self._thresholds = score_thresholds
        self._floor = floor

    def keep_only(self, instance_ids: dict) -> None:
        """Drop the state of all other instances."""
        self.rotation.keep_only(instance_ids)
        for instance_id in list(self._ranked_until_by_id):
            if instance_id not in instance_ids:
                del self._ranked_until_by_id[instance_id]

    def require_new_reports(self, now: float) -> None:
        """Eject nothing until every peer has sent a new report.

        Reports in transit may predate the event that made this necessary,
        by the maximum report age at most. Reports that peers send after that
        are newer than all of them, and arrive within the same time again.
        """
        self._reports_needed_after = now + 2.0 * peer_reports.MAX_REPORT_AGE

    def ranked_last(self, now: float) -> frozenset[str]:
        """Return the instances in rotation that are used after all others."""
        return frozenset(
            instance_id
            for instance_id, until in self._ranked_until_by_id.items()
            if until > now and instance_id not in self.rotation.removals_by_id
        )

    def decide(self, leaving: frozenset[str], now: float) -> None:
        """Remove and restore instances according to the evidence."""
        if self._scoreboard.suspects_local_fault:
            self.rotation.undo_recent_removals(now)
        self._run_trials(now)
        self._apply_owner_decisions(now)
        proposals_by_id = self._propose_removals(now)
        suspects = [
            ejection.Suspect(
                instance_id,
                proposal.score,
                proposal.state,
                instance_id in self.rotation.removals_by_id,
            )
            for instance_id, proposal in proposals_by_id.items()
        ]
        if not suspects:
            self.second_opinions = NO_INSTANCES
            return
        capacity = self._known_capacity(leaving, now)
        state_by_id = ejection.decide(suspects, capacity)
        self.second_opinions = frozenset(
            instance_id
            for instance_id, state in state_by_id.items()
            if state is standings.State.TRIAL
        )
        for instance_id, state in state_by_id.items():
            self._apply(instance_id, proposals_by_id[instance_id], state, now)

    def _run_trials(self, now: float) -> None:
        for instance_id in self.rotation.begin_trials(now):
            self._scoreboard.discard_evidence(instance_id)
        for instance_id in list(self.rotation.removals_by_id):
            if not self.rotation.in_trial(instance_id):
                continue
            age_evidence = self._scoreboard.age_evidence(instance_id)
            result = self.rotation.end_trial(instance_id, age_evidence, now)
            if result is None:
                continue
            self._scoreboard.discard_evidence(instance_id)
            if result.passed:
                # Peers may keep the instance removed a little longer. Until
                # they report it in rotation, no other may be ejected.
                self.require_new_reports(now)

    def _apply_owner_decisions(self, now: float) -> None:
        """Adopt or end removals according to the owner's last report."""
        ejected = self._peer_reports.ejected_by_owner()
        owner_reported = self._peer_reports.has_reported(
            self._peer_reports.owner
        )
        for instance_id, removal in list(self.rotation.removals_by_id.items()):
            if self._peer_reports.is_owner:
                own_removal = removal._replace(decided_by_owner=False)
                self.rotation.remove(instance_id, own_removal, now)
            elif instance_id in ejected and not removal.decided_by_owner:
                self._scoreboard.discard_evidence(instance_id)
                adopted = removal._replace(
                    state=standings.State.EJECTED,
                    score=0.0,
                    decided_by_owner=True,
                )
                self.rotation.remove(instance_id, adopted, now)
            elif instance_id in ejected or not owner_reported:
                continue
            elif removal.state is standings.State.EJECTED:
                self.rotation.restore(instance_id, now)

    def _propose_removals(self, now: float) -> dict[str, rotation.Removal]:
        """Return the removals and lower ranks to apply, by instance.

        They include the removals that stay in force.
        """
        fresh_reports = self._peer_reports.fresh_reports(now)
        suspected = self._peer_reports.suspected_by_peers(
            now, self._thresholds.confirmation
        )
        suspected |= set(
            self._scoreboard.ids_with_score(self._thresholds.confirmation)
        )
        count = len(self._scoreboard.records_by_id)
        self._service_wide = len(suspected) > max(
            1, SERVICE_WIDE_SHARE * count
        )
        ejected = NO_INSTANCES
        if not self._peer_reports.is_owner:
            ejected = self._peer_reports.ejected_by_owner()
        instance_ids = set(
            self._scoreboard.ids_with_score(self._thresholds.clear)
        )
        instance_ids |= self.rotation.removals_by_id.keys()
        instance_ids |= suspected
        instance_ids |= self._ranked_until_by_id.keys()
        instance_ids |= ejected
        proposals_by_id = {}
        for instance_id in sorted(
            instance_ids & self._scoreboard.records_by_id.keys()
        ):
            proposal = self._propose(
                instance_id, instance_id in ejected, fresh_reports
            )
            if proposal is None:
                proposal = self._held_rank(instance_id, now)
            elif proposal.state is standings.State.RANKED_LAST:
                self._rank_last(instance_id, RANKED_LAST_HOLD, now)
            if proposal is not None:
                proposals_by_id[instance_id] = proposal
        return proposals_by_id

    def _propose(
        self,
        instance_id: str,
        ejected_by_owner: bool,
        fresh_reports: list[peer_reports.ReceivedReport],
    ) -> rotation.Removal | None:
        """Return the removal that the evidence calls for, if any."""
        removal = self.rotation.removals_by_id.get(instance_id)
        if ejected_by_owner:
            return removal or rotation.Removal(
                standings.State.EJECTED, 0.0, "ejected by owner", True
            )
        decided_by_trial = removal is not None and (
            removal.state is standings.State.EJECTED
            or self.rotation.in_trial(instance_id)
        )
        if (
            decided_by_trial
            or self._scoreboard.suspects_local_fault
            or self._service_wide
        ):
            return removal
        return self._propose_from_votes(instance_id, removal, fresh_reports)

    def _propose_from_votes(
        self,
        instance_id: str,
        removal: rotation.Removal | None,
        fresh_reports: list[peer_reports.ReceivedReport],
    ) -> rotation.Removal | None:
        entry = self.evidence_of(instance_id, standings.State.IN_ROTATION)
        votes = verdicts.count_votes(
            self._peer_reports.own_vm, entry, fresh_reports, self._thresholds
        )
        verdict = verdicts.evaluate(
            votes,
            entry.score,
            self._thresholds,
            self._peer_reports.spans_domains,
        )
        if verdict is verdicts.Verdict.SICK and self._may_eject():
            return rotation.Removal(
                standings.State.EJECTED,
                votes.highest_score,
                "sick to several VMs",
            )
        if removal is not None:
            return removal
        if verdict is verdicts.Verdict.HEALTHY:
            return self._propose_from_peers(entry, fresh_reports)
        if entry.score < self._thresholds.confirmation:
            return None
        return rotation.Removal(
            standings.State.AVOIDED, entry.score, verdict.name.lower()
        )

    def _propose_from_peers(
        self,
        entry: evidence.InstanceEvidence,
        fresh_reports: list[peer_reports.ReceivedReport],
    ) -> rotation.Removal | None:
        """Propose a trial of an instance that a peer avoids.

        It lasts until this VM has evidence of its own. Other requests go
        there only if the floor requires the instance.
        """
        if entry.well:
            return None
        state = standings.State.TRIAL
        if entry.score >= self._thresholds.confirmation:
            state = standings.State.RANKED_LAST
        for received in fresh_reports:
            peer_entry = received.entries_by_id.get(entry.instance_id)
            if (
                peer_entry is not None
                and peer_entry.score >= self._thresholds.removal
            ):
                return rotation.Removal(state, entry.score, "peer avoids it")
        return None

    def _may_eject(self) -> bool:
        return (
            self._peer_reports.is_owner
            and self._peer_reports.all_reported_since(
                self._reports_needed_after
            )
        )

    def _known_capacity(
        self, leaving: frozenset[str], now: float
    ) -> ejection.Capacity:
        """Return the capacity that this VM knows of.

        An instance is usable if it gets its full share of slots, or would
        get it if it weren't removed.
        """
        cold = self._scoreboard.cold_ids()
        usable = set()
        for instance_id in self._scoreboard.records_by_id:
            if instance_id in leaving or instance_id in cold:
                continue
            if not self._scoreboard.is_reachable(instance_id):
                continue
            history = self.rotation.history(instance_id)
            if (
                instance_id in self.rotation.removals_by_id
                or removal_history.slot_share(history, now) >= 1.0
            ):
                usable.add(instance_id)
        return ejection.Capacity(
            frozenset(usable),
            self._peer_reports.removed_by_peers(),
            self._floor,
        )

    def _apply(
        self,
        instance_id: str,
        removal: rotation.Removal,
        state: standings.State,
        now: float,
    ) -> None:
        if removal.state is standings.State.RANKED_LAST:
            return
        if removal.state is standings.State.TRIAL:
            self._rank_last(instance_id, RANKED_LAST_HOLD, now)
            return
        current = self.rotation.removals_by_id.get(instance_id)
        if state is standings.State.RANKED_LAST:
            hold = RANKED_LAST_HOLD
            if current is not None:
                history = self.rotation.history(instance_id)
                hold = removal_history.removal_period(history.flaps)
                self.rotation.restore_in_full(instance_id, now)
                self.require_new_reports(now)
            self._rank_last(instance_id, hold, now)
            return
        self._ranked_until_by_id.pop(instance_id, None)
        if current == removal:
            return
        if removal.decided_by_owner:
            self._scoreboard.discard_evidence(instance_id)
        self.rotation.remove(instance_id, removal, now)

    def _rank_last(self, instance_id: str, hold: float, now: float) -> None:
        until = self._ranked_until_by_id.get(instance_id, now)
        self._ranked_until_by_id[instance_id] = max(until, now + hold)

    def _held_rank(
        self, instance_id: str, now: float
    ) -> rotation.Removal | None:
        """Return the last rank that an instance still holds, if any."""
        until = self._ranked_until_by_id.get(instance_id)
        if until is None:
            return None
        if until <= now:
            del self._ranked_until_by_id[instance_id]
            return None
        return rotation.Removal(standings.State.RANKED_LAST, 0.0, "floor")

    def evidence_of(
        self, instance_id: str, state: standings.State
    ) -> evidence.InstanceEvidence:
        """Return this VM's evidence on an instance, for its peers.

        ``state`` is reported if the instance is not removed.
        """
        record = self._scoreboard.records_by_id[instance_id]
        score = record.score
        removal = self.rotation.removals_by_id.get(instance_id)
        if removal is not None:
            score = max(score, removal.score)
            state = removal.state
        return evidence.InstanceEvidence(
            instance_id,
            round(score, 1),
            round(record.recent_attempts),
            state,
            well=self._scoreboard.accepts_health(instance_id),
        )
