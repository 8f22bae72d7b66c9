"""Defines the metrics of the request path."""

import enum
import functools
import itertools
import typing

import prometheus_client

from primrosemill.decisions import instance_selection
from primrosemill.decisions import outcomes
from primrosemill.proxy import exchange
from primrosemill.proxy import forwarding_tickets
from primrosemill.proxy import peer_counters
from primrosemill.proxy import peer_forwarding
from primrosemill.proxy import request_guard
from primrosemill.proxy import request_policies
from primrosemill.telemetry import metrics

from primrosemill.decisions.customers import cap_agent
from primrosemill.proxy.customers import freshness_exchange


class RequestOutcome(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ABORTED = "aborted"
    CALLER_GONE = "caller_gone"


class Announcement(enum.StrEnum):
    """What instances announce about themselves, directly or via a peer."""

    LEAVING = "leaving"
    LEAVING_TOLD_BY_PEER = "leaving_told_by_peer"
    PAUSE = "pause"
    DAMAGED_PAUSE = "damaged_pause"
    LIMIT = "limit"
    LIMIT_TOLD_BY_PEER = "limit_told_by_peer"
    DAMAGED_LIMIT = "damaged_limit"


class CapOutcome(enum.StrEnum):
    """By what a request was admitted, and what VMs asked each other."""

    TOKEN = cap_agent.Source.TOKEN.value
    LOAN = cap_agent.Source.LOAN.value
    HOLDER = cap_agent.Source.HOLDER.value
    ANSWER = cap_agent.Source.ANSWER.value
    FALLBACK = cap_agent.Source.FALLBACK.value
    ASKED = "asked"
    GRANTED = "granted"
    DENIED = "denied"
    NOT_HOLDER = "not_holder"


class Counters:
    """The metrics of the request path."""

    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        self.registry = registry or prometheus_client.CollectorRegistry()
        self.requests = metrics.EnumCounter(
            "requests",
            "Requests by how they ended for the caller.",
            "outcome",
            RequestOutcome,
            self.registry,
        )
        self.refusals = metrics.EnumCounter(
            "refusals",
            "Requests refused, by reason.",
            "reason",
            outcomes.RefusalReason,
            self.registry,
        )
        self.retries = metrics.EnumCounter(
            "retries",
            "Attempts followed by another one, by why they failed.",
            "reason",
            itertools.chain(outcomes.NotRunReason, outcomes.UnknownReason),
            self.registry,
        )
        self.unknowns = metrics.EnumCounter(
            "unknowns",
            "Requests of which nobody can tell whether they ran, by reason.",
            "reason",
            outcomes.UnknownReason,
            self.registry,
        )
        self.aborts = metrics.EnumCounter(
            "aborts",
            "Answers reset after their start went on, by reason.",
            "reason",
            outcomes.UnknownReason,
            self.registry,
        )
        self.announcements = metrics.EnumCounter(
            "instance_announcements",
            "What instances said of themselves: that they leave, want no "
            "request for a time, or limit their requests.",
            "kind",
            Announcement,
            self.registry,
        )
        self.crash_evidence = metrics.EnumCounter(
            "crash_evidence",
            "What this VM learned of requests that may crash instances.",
            "kind",
            request_guard.Evidence,
            self.registry,
        )
        self.forwardings = metrics.EnumCounter(
            "forwarded_requests",
            "Requests passed on to other VMs, by what became of them, and "
            "those accepted from other VMs.",
            "passage",
            peer_forwarding.Passage,
            self.registry,
        )
        self.bad_tickets = metrics.EnumCounter(
            "refused_tickets",
            "Requests refused that claim to be passed on by another VM.",
            "fault",
            forwarding_tickets.TicketFault,
            self.registry,
        )
        self.crossings = metrics.EnumCounter(
            "crossing_attempts",
            "Attempts at instances of other failure domains, by why none of "
            "the own domain was chosen.",
            "reason",
            instance_selection.Crossing,
            self.registry,
        )
        self.freshness_rounds = metrics.EnumCounter(
            "freshness_rounds",
            "Attempts to learn the age of the configuration, by whether "
            "another VM answered, the feed was read, or both failed.",
            "outcome",
            freshness_exchange.Round,
            self.registry,
        )
        self.caps = metrics.EnumCounter(
            "customer_caps",
            "Requests of customers with a cap that were admitted, by what; "
            "messages to ask holders for tokens, and what this VM answered "
            "as one.",
            "outcome",
            CapOutcome,
            self.registry,
        )
        # The exchange of caps, if any, replaces these two.
        self.count_caps_held: typing.Callable[[], float] = lambda: 0.0
        self.read_caps_fraction: typing.Callable[[], float] = lambda: 1.0
        metrics.make_gauge(
            "customer_caps_held",
            "Customers with recent requests whose caps this VM holds.",
            lambda: self.count_caps_held(),
            self.registry,
        )
        metrics.make_gauge(
            "customer_caps_fraction",
            "The part of the caps that the VMs which this one sees may grant.",
            lambda: self.read_caps_fraction(),
            self.registry,
        )
        self.failures = metrics.make_counter(
            "request_failures",
            "Requests ended by a fault of the proxy itself.",
            self.registry,
        )
        self.latency = metrics.make_latency_histogram(
            "request_seconds",
            "Seconds from a request's head to its last byte.",
            self.registry,
        )
        self.wait_times = metrics.make_latency_histogram(
            "wait_seconds",
            "Seconds that requests waited for the slot that they got.",
            self.registry,
        )
        self.attempt_times = metrics.make_latency_histogram(
            "attempt_seconds",
            "Seconds that instances took from a request to the end of their "
            "answer.",
            self.registry,
        )
        self.peers = peer_counters.PeerCounters(self.registry)

    def count_retry(self, failure: outcomes.NotRun | outcomes.Unknown) -> None:
        """Count a failed attempt that is followed by another one."""
        self.retries.count(failure.reason)

    def count_result(self, result: exchange.Result, elapsed: float) -> None:
        """Count a request that ended; ``elapsed`` is in seconds."""
        self.latency.observe(elapsed)
        _count_result(result, self)


@functools.singledispatch
def _count_result(result: exchange.Result, counters: Counters) -> None:
    raise NotImplementedError(type(result))


@_count_result.register
def _count_relayed(result: exchange.Relayed, counters: Counters) -> None:
    counters.requests.count(RequestOutcome.ANSWERED)


@_count_result.register
def _count_aborted(result: exchange.Aborted, counters: Counters) -> None:
    counters.requests.count(RequestOutcome.ABORTED)
    counters.aborts.count(result.reason)


@_count_result.register
def _count_caller_gone(
    result: exchange.CallerGone, counters: Counters
) -> None:
    counters.requests.count(RequestOutcome.CALLER_GONE)


@_count_result.register
def _count_refused(
    result: request_policies.Refused, counters: Counters
) -> None:
    counters.requests.count(RequestOutcome.NOT_RUN)
    counters.refusals.count(result.reason)


@_count_result.register
def _count_unknown(result: outcomes.Unknown, counters: Counters) -> None:
    counters.requests.count(RequestOutcome.UNKNOWN)
    counters.unknowns.count(result.reason)
