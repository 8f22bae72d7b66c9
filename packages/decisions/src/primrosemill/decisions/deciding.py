"""Turns scores and peers' reports into what is out of rotation on one VM."""

from primrosemill.decisions import ejection
from primrosemill.decisions import evidence
from primrosemill.decisions import judgement
from primrosemill.decisions import peers
from primrosemill.decisions import returns
from primrosemill.decisions import rotation
from primrosemill.decisions import standings
from primrosemill.decisions import suspicion
from primrosemill.decisions import thresholds

# When this share of the instances is suspect, the service itself is sick.
GENERAL_SHARE = 0.5
RANKED_HOLD = 0.5  # seconds that a rank outlasts its cause
NOBODY: frozenset[str] = frozenset()


class Decider:
    """Decides about the instances of one service on one VM."""

    def __init__(
        self, board: suspicion.Scoreboard, heard: peers.Peers, now: float
    ) -> None:
        self._board = board
        self._peers = heard
        self._limits = thresholds.from_weight(0.0)
        self._floor = 0
        self._settling_since = now + 2.0 * peers.MOST_DELAY
        self._general = False
        self._ranked_until_by_id: dict[str, float] = {}
        self.opinions: frozenset[str] = NOBODY
        self.rotation = rotation.Rotation()

    def configure(self, limits: thresholds.Thresholds, floor: int) -> None:
        """Decide by these thresholds and this floor."""
        self._limits = limits
        self._floor = floor

    def keep(self, instance_ids: dict) -> None:
        """Forget every other instance."""
        self.rotation.keep(instance_ids)
        for instance_id in list(self._ranked_until_by_id):
            if instance_id not in instance_ids:
                del self._ranked_until_by_id[instance_id]

    def settle(self, now: float) -> None:
        """Hear every peer again before ejecting anything.

        Reports under way may be older than what made this VM settle, for
        one delay at most; what peers then send is later than all of them
        and arrives within another.
        """
        self._settling_since = now + 2.0 * peers.MOST_DELAY

    def ranked_last(self, now: float) -> frozenset[str]:
        """Return what is in rotation, but behind all others."""
        return frozenset(
            instance_id
            for instance_id, until in self._ranked_until_by_id.items()
            if until > now and instance_id not in self.rotation.cases_by_id
        )

    def decide(self, leaving: frozenset[str], now: float) -> None:
        """Take out, keep out and bring back what the evidence says."""
        if self._board.doubting:
            self.rotation.undo_recent(now)
        self._run_trials(now)
        self._follow_owner(now)
        cases_by_id = self._wished_cases(now)
        suspects = [
            ejection.Suspect(
                instance_id,
                case.score,
                case.state,
                instance_id in self.rotation.cases_by_id,
            )
            for instance_id, case in cases_by_id.items()
        ]
        if not suspects:
            self.opinions = NOBODY
            return
        capacity = self._capacity(leaving, now)
        state_by_id = ejection.decide(suspects, capacity)
        self.opinions = frozenset(
            instance_id
            for instance_id, state in state_by_id.items()
            if state is standings.State.TRIAL
        )
        for instance_id, state in state_by_id.items():
            self._apply(instance_id, cases_by_id[instance_id], state, now)

    def _run_trials(self, now: float) -> None:
        for instance_id in self.rotation.begin_trials(now):
            self._board.abandon(instance_id)
        for instance_id in list(self.rotation.cases_by_id):
            if not self.rotation.in_trial(instance_id):
                continue
            ages = self._board.age_evidence(instance_id)
            end = self.rotation.settle_trial(instance_id, ages, now)
            if end is None:
                continue
            self._board.abandon(instance_id)
            if end.passed:
                # Peers may have it out a moment longer; until they say
                # otherwise nothing else may go out in its place.
                self.settle(now)

    def _follow_owner(self, now: float) -> None:
        """Let the owner's word take over or end what is out here."""
        ejected = self._peers.ejected_by_owner()
        heard_owner = self._peers.heard_from(self._peers.owner)
        for instance_id, case in list(self.rotation.cases_by_id.items()):
            if self._peers.owning:
                owned = case._replace(followed=False)
                self.rotation.take_out(instance_id, owned, now)
            elif instance_id in ejected and not case.followed:
                self._board.abandon(instance_id)
                followed = case._replace(
                    state=standings.State.EJECTED, score=0.0, followed=True
                )
                self.rotation.take_out(instance_id, followed, now)
            elif instance_id in ejected or not heard_owner:
                continue
            elif case.state is standings.State.EJECTED:
                self.rotation.bring_back(instance_id, now)

    def _wished_cases(self, now: float) -> dict[str, rotation.Case]:
        """Return what is out, ranked last or should be, by instance."""
        fresh = self._peers.fresh(now)
        suspected = self._peers.suspected(now, self._limits.support)
        suspected |= set(self._board.scoring(self._limits.support))
        count = len(self._board.records_by_id)
        self._general = len(suspected) > max(1, GENERAL_SHARE * count)
        ejected = NOBODY
        if not self._peers.owning:
            ejected = self._peers.ejected_by_owner()
        wanted = set(self._board.scoring(self._limits.clear))
        wanted |= self.rotation.cases_by_id.keys()
        wanted |= suspected
        wanted |= self._ranked_until_by_id.keys()
        wanted |= ejected
        cases_by_id = {}
        for instance_id in sorted(wanted & self._board.records_by_id.keys()):
            case = self._wish(instance_id, instance_id in ejected, fresh)
            if case is None:
                case = self._hold_rank(instance_id, now)
            elif case.state is standings.State.RANKED_LAST:
                self._rank_last(instance_id, RANKED_HOLD, now)
            if case is not None:
                cases_by_id[instance_id] = case
        return cases_by_id

    def _wish(
        self,
        instance_id: str,
        ejected_by_owner: bool,
        fresh: list[peers.Heard],
    ) -> rotation.Case | None:
        """Return the case that the evidence makes, if any."""
        case = self.rotation.cases_by_id.get(instance_id)
        if ejected_by_owner:
            return case or rotation.Case(
                standings.State.EJECTED, 0.0, "ejected by owner", True
            )
        settled = case is not None and (
            case.state is standings.State.EJECTED
            or self.rotation.in_trial(instance_id)
        )
        if settled or self._board.doubting or self._general:
            return case
        return self._weigh_votes(instance_id, case, fresh)

    def _weigh_votes(
        self,
        instance_id: str,
        case: rotation.Case | None,
        fresh: list[peers.Heard],
    ) -> rotation.Case | None:
        entry = self.evidence_of(instance_id, standings.State.IN_ROTATION)
        votes = judgement.count(self._peers.own, entry, fresh, self._limits)
        verdict = judgement.judge(
            votes, entry.score, self._limits, self._peers.several_domains
        )
        if verdict is judgement.Verdict.SICK and self._may_eject():
            return rotation.Case(
                standings.State.EJECTED, votes.highest, "sick to several VMs"
            )
        if case is not None:
            return case
        if verdict is judgement.Verdict.HEALTHY:
            return self._wish_by_peers(entry, fresh)
        if entry.score < self._limits.support:
            return None
        return rotation.Case(
            standings.State.AVOIDED, entry.score, verdict.name.lower()
        )

    def _wish_by_peers(
        self, entry: evidence.InstanceEvidence, fresh: list[peers.Heard]
    ) -> rotation.Case | None:
        """Try what a peer avoids, until this VM knows better itself.

        Other work goes there only if the floor needs the instance.
        """
        if entry.well:
            return None
        state = standings.State.TRIAL
        if entry.score >= self._limits.support:
            state = standings.State.RANKED_LAST
        for heard in fresh:
            each = heard.by_instance.get(entry.instance_id)
            if each is not None and each.score >= self._limits.act:
                return rotation.Case(state, entry.score, "peer avoids it")
        return None

    def _may_eject(self) -> bool:
        return self._peers.owning and self._peers.heard_from_all(
            self._settling_since
        )

    def _capacity(
        self, leaving: frozenset[str], now: float
    ) -> ejection.Capacity:
        """Count as usable what takes, or could take, its full share."""
        cold = self._board.cold()
        usable = set()
        for instance_id in self._board.records_by_id:
            if instance_id in leaving or instance_id in cold:
                continue
            if not self._board.is_reachable(instance_id):
                continue
            record = self.rotation.record(instance_id)
            if (
                instance_id in self.rotation.cases_by_id
                or returns.share_at(record, now) >= 1.0
            ):
                usable.add(instance_id)
        return ejection.Capacity(
            frozenset(usable), self._peers.out_elsewhere(), self._floor
        )

    def _apply(
        self,
        instance_id: str,
        case: rotation.Case,
        state: standings.State,
        now: float,
    ) -> None:
        if case.state is standings.State.RANKED_LAST:
            return
        if case.state is standings.State.TRIAL:
            self._rank_last(instance_id, RANKED_HOLD, now)
            return
        before = self.rotation.cases_by_id.get(instance_id)
        if state is standings.State.RANKED_LAST:
            hold = RANKED_HOLD
            if before is not None:
                record = self.rotation.record(instance_id)
                hold = returns.wait_of(record.flaps)
                self.rotation.call_back(instance_id, now)
                self.settle(now)
            self._rank_last(instance_id, hold, now)
            return
        self._ranked_until_by_id.pop(instance_id, None)
        if before == case:
            return
        if case.followed:
            self._board.abandon(instance_id)
        self.rotation.take_out(instance_id, case, now)

    def _rank_last(self, instance_id: str, hold: float, now: float) -> None:
        until = self._ranked_until_by_id.get(instance_id, now)
        self._ranked_until_by_id[instance_id] = max(until, now + hold)

    def _hold_rank(self, instance_id: str, now: float) -> rotation.Case | None:
        """Return the rank that an instance keeps for a while, if any."""
        until = self._ranked_until_by_id.get(instance_id)
        if until is None:
            return None
        if until <= now:
            del self._ranked_until_by_id[instance_id]
            return None
        return rotation.Case(standings.State.RANKED_LAST, 0.0, "floor")

    def evidence_of(
        self, instance_id: str, state: standings.State
    ) -> evidence.InstanceEvidence:
        """Return what this VM knows of an instance, for its peers."""
        record = self._board.records_by_id[instance_id]
        score = record.score
        case = self.rotation.cases_by_id.get(instance_id)
        if case is not None:
            score = max(score, case.score)
            state = case.state
        return evidence.InstanceEvidence(
            instance_id,
            round(score, 1),
            round(record.recent),
            state,
            well=self._board.finds_well(instance_id),
        )
