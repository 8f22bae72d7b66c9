"""Load patterns that are simulated against the decision code.

Times are in seconds. Rates are in requests a second over all failure domains.
"""

import math
import types
import typing

from primrosemill.configuration import document as documents

URGENT = documents.Route(
    "host", "/orders/", (), False, 4.0, "urgent", 1.0, 1, 2
)
PATIENT = documents.Route(
    "host", "/reads/", (), True, 4.0, "patient", 1.0, 2, 2
)
# Kinds of a deployment whose services are small and whose demand moves.
FILING = documents.Route(
    "host", "/filings/", (), False, 3.0, "filing", 1.06, 0, 2
)
BID = documents.Route("host", "/bids/", (), False, 4.0, "bid", 2.0, 1, 2)
LOOKUP = documents.Route(
    "host", "/lookups/", (), True, 5.0, "lookup", 2.0, 2, 2
)
# Kinds of a large service of which each VM gets few requests.
REPORT = documents.Route(
    "host", "/reports/", (), True, 5.0, "report", 2.5, 2, 2
)
BOOKING = documents.Route(
    "host", "/bookings/", (), False, 6.0, "booking", 1.55, 1, 2
)
# Two kinds of one priority, of which the second takes four times as long.
SHORT = documents.Route("host", "/short/", (), True, 4.0, "short", 1.0, 1, 2)
LONG = documents.Route("host", "/long/", (), True, 4.0, "long", 1.5, 1, 2)
# A customer's requests, and those of all others on the same route.
CUSTOMER = SHORT._replace(name="customer")
OTHERS = SHORT._replace(name="others")


class Spells(typing.NamedTuple):
    """The random process by which single instances fail in spells.

    ``failure_share`` of the attempts fail during a spell, and
    ``ordinary_failure_share`` at all other times. Spells begin at
    ``onset_rate`` per second and have exponentially distributed durations.
    """

    ordinary_failure_share: float = 0.012
    failure_share: float = 0.9
    onset_rate: float = 0.02
    mean_duration: float = 5.5


class Pattern(typing.NamedTuple):
    """A load, the instances that serve it, and an incident that affects both.

    ``instance_counts`` and ``caller_weights`` have one item per failure
    domain; each domain has ``vms_per_domain`` entry VMs. Service times are
    log-normal, with the mean ``service_time`` and the shape
    ``service_time_sigma``. VMs receive each other's observations after
    ``report_delay``; None means that they exchange none.

    The incident begins at ``incident_start`` and lasts ``incident_duration``.
    Meanwhile the arrival rates are multiplied by ``burst_factor``, instances
    (``shedding_share`` of them) shed ``shed_share`` of the attempts, and some
    cannot be
    reached (``lost_share``), never answer (``silent_share``), are slower by
    ``slow_factor`` (``slow_share``) or name a limit of ``limit_rate`` requests
    per second (``limited_share``). With ``lost_domain``, all instances of the
    first domain cannot be reached. Some VMs of each domain refuse all requests
    (``failing_vm_share``), as they reach no instance or are short of
    processor time.

    ``burst_route`` is the name of the only route to which the burst applies,
    or empty for all. ``domain_factors`` multiply the rates of the failure
    domains during the incident. At all times they vary by ``swing_share``
    over ``swing_period``, with an equal difference of phase between domains.
    ``work_factors`` multiply the service time of single routes, by name.

    A refused caller sends its request again at once, up to
    ``max_resubmissions`` times. With ``honours_retry_after`` it first waits
    as long as the refusal asks for, but no more than a third of the time
    that the request has left, and only the last refusal counts.

    ``worth_by_route`` is what an answer in target is worth, by name; 1 if
    not named. With ``room_shared``, VMs tell each other of the service's load
    while one of them lacks free slots. ``retry_slack`` is the part of the
    fleet's retry budget that does not depend on the requests, in attempts.
    """

    name: str
    rate_by_route: dict[documents.Route, float]
    instance_counts: tuple[int, ...] = (4, 4, 4, 4)
    caller_weights: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    vms_per_domain: int = 2
    slots: int = 4  # per instance
    service_time: float = 0.34
    service_time_sigma: float = 0.6
    seconds: float = 60.0
    spells: Spells = Spells()
    report_delay: float | None = 0.002
    incident_start: float = 20.0
    incident_duration: float = 10.0
    burst_factor: float = 1.0
    shed_share: float = 0.0
    shedding_share: float = 1.0
    lost_share: float = 0.0
    silent_share: float = 0.0
    slow_factor: float = 1.0
    slow_share: float = 0.25
    limited_share: float = 0.0
    limit_rate: float = 2.0
    max_resubmissions: int = 0
    lost_domain: bool = False
    failing_vm_share: float = 0.0
    burst_route: str = ""
    domain_factors: tuple[float, ...] = ()
    swing_share: float = 0.0
    swing_period: float = 17.0
    work_factors: typing.Mapping[str, float] = types.MappingProxyType({})
    honours_retry_after: bool = False
    worth_by_route: typing.Mapping[str, float] = types.MappingProxyType({})
    retry_slack: float = 48.0
    room_shared: bool = True

    def rate_factor(
        self, route: documents.Route, domain_number: int, time: float
    ) -> float:
        """Return what the rate of a route in a domain is multiplied by."""
        domain_count = len(self.instance_counts)
        phase = time / self.swing_period + domain_number / domain_count
        factor = 1.0 + self.swing_share * math.sin(2.0 * math.pi * phase)
        elapsed = time - self.incident_start
        if not 0.0 <= elapsed < self.incident_duration:
            return factor
        if self.burst_route in ("", route.name):
            factor *= self.burst_factor
        if self.domain_factors:
            factor *= self.domain_factors[domain_number]
        return factor


NO_SPELLS = Spells(onset_rate=1e-9)
ORDERS = {URGENT: 48.0}
READS = {PATIENT: 48.0}
BOTH = {URGENT: 30.0, PATIENT: 18.0}
# 150 of the about 188 requests a second that 16 instances can serve.
NEARLY_FULL = {URGENT: 90.0, PATIENT: 60.0}
# 115 of the about 158 requests a second that 8 instances of 6 slots can serve
# in 0.3 s, unequally distributed over the domains, and many entry points.
SMALL_SERVICE = Pattern(
    "small service",
    {FILING: 45.0, BID: 40.0, LOOKUP: 30.0},
    (3, 2, 2, 1),
    vms_per_domain=8,
    slots=6,
    service_time=0.3,
    worth_by_route=types.MappingProxyType({"filing": 3.0, "bid": 2.0}),
    retry_slack=333.0,
)
# 60 of the about 400 requests a second that 80 instances can serve in 0.8 s,
# at 96 entry points. A lost request shows seconds after it was sent.
LARGE_SERVICE = Pattern(
    "large service",
    {REPORT: 60.0},
    (20, 20, 20, 20),
    vms_per_domain=24,
    service_time=0.8,
    service_time_sigma=0.5,
    spells=Spells(onset_rate=0.033, mean_duration=3.0),
)
# A third of the instances are in a spell at any time, and few requests fail.
QUIET_SERVICE = Pattern(
    "a quiet service, once only",
    {BOOKING: 121.0},
    (8, 8, 8, 7),
    vms_per_domain=5,
    service_time=0.325,
    spells=Spells(0.02, onset_rate=0.1, mean_duration=5.0),
)

PATTERNS = (
    Pattern("spells, once only", ORDERS),
    Pattern("spells, repeatable", READS, (2, 2, 2, 2)),
    Pattern("spells, both kinds", BOTH),
    Pattern("burst on a nearly full service", NEARLY_FULL, burst_factor=1.7),
    Pattern("all instances shed half", BOTH, shed_share=0.5),
    Pattern("a quarter is lost", BOTH, lost_share=0.25),
    Pattern("a quarter is silent", BOTH, silent_share=0.25),
    Pattern("a quarter is slow", BOTH, slow_factor=5.0),
    Pattern("a quarter is limited", BOTH, limited_share=0.25),
    Pattern(
        "all are limited to half the load",
        BOTH,
        limited_share=1.0,
        limit_rate=1.5,
    ),
    Pattern(
        "callers return at once",
        NEARLY_FULL,
        burst_factor=1.7,
        max_resubmissions=3,
    ),
    Pattern("unequal domains", ORDERS, (2, 5, 5, 4), (2.0, 1.0, 1.0, 1.0)),
    Pattern("a domain's instances are lost", BOTH, lost_domain=True),
    Pattern("views differ", ORDERS, report_delay=None),
    Pattern(
        "some VMs refuse all",
        READS,
        (6, 6, 6, 6),
        vms_per_domain=6,
        failing_vm_share=0.17,
    ),
    Pattern(
        "some VMs refuse all, once only",
        ORDERS,
        (6, 6, 6, 6),
        vms_per_domain=6,
        failing_vm_share=0.34,
    ),
    Pattern(
        "spells in a large service",
        ORDERS,
        (8, 8, 8, 8),
        vms_per_domain=6,
        spells=Spells(onset_rate=0.1, mean_duration=8.0),
    ),
    SMALL_SERVICE._replace(name="demand swings", swing_share=0.55),
    SMALL_SERVICE._replace(
        name="demand of a nearly full service swings",
        rate_by_route={FILING: 56.0, BID: 50.0, LOOKUP: 38.0},
        swing_share=0.55,
    ),
    SMALL_SERVICE._replace(
        name="one domain up by half, another down",
        instance_counts=(2, 2, 2, 2),
        domain_factors=(1.5, 0.5, 1.0, 1.0),
    ),
    SMALL_SERVICE._replace(
        name="demand moves between domains",
        instance_counts=(2, 2, 2, 2),
        domain_factors=(2.2, 0.2, 0.8, 0.8),
    ),
    SMALL_SERVICE._replace(name="most attempts are rejected", shed_share=0.55),
    SMALL_SERVICE._replace(
        name="most attempts are rejected in a large service",
        rate_by_route={FILING: 132.0, BID: 120.0, LOOKUP: 90.0},
        instance_counts=(6, 6, 6, 6),
        shed_share=0.55,
        shedding_share=0.75,
    ),
    SMALL_SERVICE._replace(
        name="demand swings and most attempts are rejected",
        swing_share=0.55,
        shed_share=0.55,
    ),
    SMALL_SERVICE._replace(
        name="a domain with 2 of 12 instances",
        rate_by_route={FILING: 66.0, BID: 60.0, LOOKUP: 45.0},
        instance_counts=(2, 4, 3, 3),
        caller_weights=(1.6, 0.8, 0.8, 0.8),
    ),
    SMALL_SERVICE._replace(
        name="two service times at one priority",
        rate_by_route={SHORT: 90.0, LONG: 45.0},
        instance_counts=(2, 2, 2, 2),
        service_time=0.2,
        work_factors=types.MappingProxyType({"long": 4.0}),
    ),
    SMALL_SERVICE._replace(
        name="a customer at 7.5 times",
        rate_by_route={CUSTOMER: 14.0, OTHERS: 86.0},
        instance_counts=(2, 2, 2, 2),
        burst_factor=7.5,
        burst_route="customer",
    ),
    SMALL_SERVICE._replace(
        name="callers honour Retry-After",
        burst_factor=1.7,
        max_resubmissions=8,
        honours_retry_after=True,
    ),
    SMALL_SERVICE._replace(
        name="one instance is silent to repeatable requests",
        rate_by_route={LOOKUP: 90.0},
        instance_counts=(2, 2, 2, 2),
        silent_share=0.125,
    ),
    LARGE_SERVICE._replace(
        name="a large service is slow", slow_factor=8.0, slow_share=0.4
    ),
    LARGE_SERVICE._replace(name="a large service is silent", silent_share=0.4),
    LARGE_SERVICE._replace(
        name="a large service is slow and lost",
        slow_factor=8.0,
        slow_share=0.6,
        lost_share=0.2,
    ),
    QUIET_SERVICE,
    QUIET_SERVICE._replace(
        name="a quiet service, both kinds",
        rate_by_route={BOOKING: 60.0, REPORT: 60.0},
    ),
)
