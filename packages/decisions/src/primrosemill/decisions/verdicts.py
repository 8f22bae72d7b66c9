"""Combines several VMs' scores into a verdict on an instance.

A verdict tells a sick instance from a broken network path between one VM and
a healthy instance.
"""

import enum
import typing

from primrosemill.decisions import evidence
from primrosemill.decisions import home_vms
from primrosemill.decisions import peer_reports
from primrosemill.decisions import thresholds

# Multiple of the removal threshold that the total score must reach. Above 1,
# since the same short disturbance may raise the scores of several VMs.
JOINT_SCORE_FACTOR = 1.5


class Verdict(enum.Enum):
    """The condition of an instance by the scores of all home VMs."""

    HEALTHY = enum.auto()
    # This VM finds the instance sick, others find it healthy.
    PATH = enum.auto()
    # This VM finds the instance sick, and no other VM finds it healthy.
    UNCONFIRMED = enum.auto()
    # VMs in several failure domains find the instance sick.
    SICK = enum.auto()


class Votes(typing.NamedTuple):
    """The VMs that find an instance sick, and those that find it healthy.

    ``highest_score`` and ``total_score`` are in nats, over all voting VMs.
    """

    sick: tuple[home_vms.Vm, ...]
    healthy: tuple[home_vms.Vm, ...]
    highest_score: float
    total_score: float


def count_votes(
    own_vm: home_vms.Vm,
    own_evidence: evidence.InstanceEvidence,
    fresh_reports: typing.Sequence[peer_reports.ReceivedReport],
    score_thresholds: thresholds.Thresholds,
) -> Votes:
    """Count the votes of this VM and of the peers with recent reports."""
    instance_id = own_evidence.instance_id
    voters = [(own_vm, own_evidence)]
    for received in fresh_reports:
        entry = received.entries_by_id.get(instance_id)
        if entry is not None:
            home = home_vms.Vm(received.report.vm_id, received.report.domain)
            voters.append((home, entry))
    sick = []
    healthy = []
    for home, entry in voters:
        if entry.score >= score_thresholds.confirmation:
            sick.append(home)
        elif entry.well:
            healthy.append(home)
    scores = [
        min(entry.score, score_thresholds.removal) for _, entry in voters
    ]
    return Votes(tuple(sick), tuple(healthy), max(scores), sum(scores))


def evaluate(
    votes: Votes,
    own_score: float,
    score_thresholds: thresholds.Thresholds,
    several_domains: bool,
) -> Verdict:
    """Return the verdict of the votes for the VM with ``own_score``.

    An instance is sick when the sum of the scores is high enough, at least
    two VMs find it sick, they are in two failure domains if the home VMs
    span several, and fewer VMs find it healthy. The scores are log
    likelihood ratios of independent observations, so they add up.
    """
    domains = {home.domain for home in votes.sick}
    domains_needed = 2 if several_domains else 1
    if (
        votes.total_score >= JOINT_SCORE_FACTOR * score_thresholds.removal
        and len(votes.sick) >= 2
        and len(domains) >= domains_needed
        and len(votes.sick) > len(votes.healthy)
    ):
        return Verdict.SICK
    if own_score < score_thresholds.removal:
        return Verdict.HEALTHY
    return Verdict.PATH if votes.healthy else Verdict.UNCONFIRMED
