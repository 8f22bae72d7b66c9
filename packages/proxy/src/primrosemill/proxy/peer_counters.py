"""Metrics of a VM's traffic with the other VMs of its fleet."""

import enum
import functools
import math
import typing

import prometheus_client

from primrosemill.decisions import feed_age
from primrosemill.fleet import evidence_inbox
from primrosemill.fleet import messages
from primrosemill.fleet import observations
from primrosemill.fleet import wire
from primrosemill.telemetry import metrics


class Reach(enum.StrEnum):
    """Whether a message or request leaves its failure domain."""

    OWN_DOMAIN = "own_domain"
    OTHER_DOMAIN = "other_domain"


KINDS = enum.StrEnum(
    "KINDS", [(kind.name, kind.name.lower()) for kind in messages.Kind]
)


def _read_unknown_age() -> float:
    return math.nan


class PeerCounters:
    """Holds the metrics of the traffic between VMs."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.refusals = metrics.EnumCounter(
            "peer_messages_refused",
            "Messages from the peer port that were dropped, by reason.",
            "reason",
            wire.RefusalReason,
            registry,
        )
        self.rejections = metrics.EnumCounter(
            "evidence_rejected",
            "Reports of other VMs that were given no weight, by reason.",
            "reason",
            evidence_inbox.RejectionReason,
            registry,
        )
        self.bytes = metrics.EnumPairCounter(
            "peer_bytes",
            "Bytes of datagrams to other VMs and of values pulled from "
            "them, by kind and by whether they leave the failure domain.",
            ("kind", "reach"),
            (KINDS, Reach),
            registry,
        )
        self.read_feed_age: typing.Callable[[], float] = _read_unknown_age
        metrics.make_gauge(
            "feed_age_seconds",
            "Seconds for which changes of the feed may be unknown here.",
            lambda: self.read_feed_age(),
            registry,
        )
        self.feed_rounds = metrics.EnumCounter(
            "feed_rounds",
            "Questions whether readers of the feed still read it, by whether "
            "the reader asked first said so, another one, or none.",
            "outcome",
            feed_age.Round,
            registry,
        )
        self.conflicts = metrics.make_counter(
            "version_conflicts",
            "Peers heard with other content under the version in force.",
            registry,
        )
        self.failed_pulls = metrics.make_counter(
            "failed_pulls",
            "Pulls of a newer version from a peer that failed.",
            registry,
        )


@functools.singledispatch
def count(observation: object, counters: PeerCounters) -> None:
    """Count an observation; most kinds are only logged."""


@count.register
def _count_refused(
    observation: observations.MessageRefused, counters: PeerCounters
) -> None:
    counters.refusals.count(observation.reason)


@count.register
def _count_bytes(
    observation: observations.Transferred, counters: PeerCounters
) -> None:
    reach = (
        Reach.OTHER_DOMAIN if observation.crosses_domains else Reach.OWN_DOMAIN
    )
    counters.bytes.add(KINDS[observation.kind.name], reach, observation.size)


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
def _count_feed_round(
    observation: observations.FeedRoundEnded, counters: PeerCounters
) -> None:
    counters.feed_rounds.count(observation.ended)


@count.register
def _count_failed_pull(
    observation: observations.PullFailed, counters: PeerCounters
) -> None:
    counters.failed_pulls.inc()
