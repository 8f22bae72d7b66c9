"""Counts what a VM refuses and misses in its traffic with other VMs."""

import functools

import prometheus_client

from primrosemill.fleet import evidence_inbox
from primrosemill.fleet import observations
from primrosemill.fleet import wire
from primrosemill.telemetry import metrics


class PeerCounters:
    """Holds the metrics of the fleet's own traffic."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.refusals = metrics.ReasonCounter(
            "peer_messages_refused",
            "Messages from the peer port that were dropped, by reason.",
            "reason",
            wire.RefusalReason,
            registry,
        )
        self.rejections = metrics.ReasonCounter(
            "evidence_rejected",
            "Reports of other VMs that were given no weight, by reason.",
            "reason",
            evidence_inbox.RejectionReason,
            registry,
        )
        self.conflicts = metrics.counter(
            "version_conflicts",
            "Peers heard with other content under the version in force.",
            registry,
        )
        self.failed_pulls = metrics.counter(
            "failed_pulls",
            "Pulls of a newer version from a peer that failed.",
            registry,
        )


@functools.singledispatch
def count(observation: object, counters: PeerCounters) -> None:
    """Count an observation; most kinds are logged only."""


@count.register
def _count_refused(
    observation: observations.MessageRefused, counters: PeerCounters
) -> None:
    counters.refusals.count(observation.reason)


@count.register
def _count_rejected(
    observation: observations.EvidenceRejected, counters: PeerCounters
) -> None:
    counters.rejections.count(observation.reason)


@count.register
def _count_conflict(
    observation: observations.VersionConflict, counters: PeerCounters
) -> None:
    counters.conflicts.inc()


@count.register
def _count_failed_pull(
    observation: observations.PullFailed, counters: PeerCounters
) -> None:
    counters.failed_pulls.inc()
