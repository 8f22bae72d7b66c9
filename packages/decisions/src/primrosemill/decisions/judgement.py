"""Judges from several VMs' scores whether an instance or a path is sick."""

import enum
import typing

from primrosemill.decisions import evidence
from primrosemill.decisions import homes as home_vms
from primrosemill.decisions import peers
from primrosemill.decisions import thresholds

JOINT_FACTOR = 1.5  # Several VMs may meet the same short trouble.


class Verdict(enum.Enum):
    """What the scores of all home VMs say together."""

    HEALTHY = enum.auto()
    PATH = enum.auto()  # Sick to this VM, and not to others.
    UNCONFIRMED = enum.auto()  # Sick to this VM; no other VM uses it.
    SICK = enum.auto()  # Sick to VMs in several failure domains.


class Votes(typing.NamedTuple):
    """The VMs that find an instance sick, and those that find it well."""

    sick: tuple[home_vms.Vm, ...]
    well: tuple[home_vms.Vm, ...]
    highest: float
    total: float


def count(
    own: home_vms.Vm,
    own_evidence: evidence.InstanceEvidence,
    fresh: typing.Sequence[peers.Heard],
    limits: thresholds.Thresholds,
) -> Votes:
    """Sort this VM and those heard lately by what they met."""
    instance_id = own_evidence.instance_id
    met = [(own, own_evidence)]
    for heard in fresh:
        each = heard.by_instance.get(instance_id)
        if each is not None:
            home = home_vms.Vm(heard.report.vm_id, heard.report.domain)
            met.append((home, each))
    sick = []
    well = []
    for home, each in met:
        if each.score >= limits.support:
            sick.append(home)
        elif each.well:
            well.append(home)
    scores = [min(each.score, limits.act) for _, each in met]
    return Votes(tuple(sick), tuple(well), max(scores), sum(scores))


def judge(
    votes: Votes,
    own_score: float,
    limits: thresholds.Thresholds,
    several_domains: bool,
) -> Verdict:
    """Return what the votes say, as seen by the VM with ``own_score``.

    An instance is sick when the scores of all VMs together say so, at least
    two of them support it, from two failure domains where the homes span
    several, and fewer find it well. Scores of several VMs are independent
    evidence, so they add up.
    """
    domains = {home.domain for home in votes.sick}
    domains_needed = 2 if several_domains else 1
    if (
        votes.total >= JOINT_FACTOR * limits.act
        and len(votes.sick) >= 2
        and len(domains) >= domains_needed
        and len(votes.sick) > len(votes.well)
    ):
        return Verdict.SICK
    if own_score < limits.act:
        return Verdict.HEALTHY
    return Verdict.PATH if votes.well else Verdict.UNCONFIRMED
