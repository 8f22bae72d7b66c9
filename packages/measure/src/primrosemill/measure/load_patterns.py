"""Names the load patterns that are played against the decisions.

Times are in seconds and rates in requests a second, over all domains.
"""

import typing

from primrosemill.configuration import document as documents

URGENT = documents.Route(
    "host", "/orders/", (), False, 4.0, "urgent", 1.0, 1, 2
)
PATIENT = documents.Route(
    "host", "/reads/", (), True, 4.0, "patient", 1.0, 2, 2
)


class Spells(typing.NamedTuple):
    """Spells of errors at single instances, as a random process.

    ``ordinary`` is the share of errors at all other times.
    """

    ordinary: float = 0.012
    fails: float = 0.9
    onset: float = 0.02
    lasts: float = 5.5


class Pattern(typing.NamedTuple):
    """A load, the instances that serve it, and what happens to them.

    ``domains`` are the instances of each failure domain, ``shares`` the
    callers of each; ``vms`` enter in each. ``told`` is the delay of news
    between VMs, None for none. From ``strikes`` on for ``lasts`` seconds
    the factor ``burst`` multiplies the load, a share of ``shed`` is
    rejected by each instance, and a share of the instances is ``lost``,
    ``silent`` or ``slow`` by a factor. Callers that are refused return at
    once so many times.
    """

    name: str
    rates: dict[documents.Route, float]
    domains: tuple[int, ...] = (4, 4, 4, 4)
    shares: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    vms: int = 2
    slots: int = 4
    work: float = 0.34
    spread: float = 0.6
    seconds: float = 60.0
    spells: Spells = Spells()
    told: float | None = 0.002
    strikes: float = 20.0
    lasts: float = 10.0
    burst: float = 1.0
    shed: float = 0.0
    lost: float = 0.0
    silent: float = 0.0
    slow: float = 1.0
    slow_share: float = 0.25
    returns: int = 0
    lost_domain: bool = False


CALM = Spells(onset=1e-9)
ORDERS = {URGENT: 48.0}
READS = {PATIENT: 48.0}
BOTH = {URGENT: 30.0, PATIENT: 18.0}
FULL = {URGENT: 90.0, PATIENT: 60.0}  # Of some 188 that fit.

PATTERNS = (
    Pattern("spells, once only", ORDERS),
    Pattern("spells, repeatable", READS, (2, 2, 2, 2)),
    Pattern("spells, both kinds", BOTH),
    Pattern("burst on a nearly full service", FULL, burst=1.7),
    Pattern("all instances shed half", BOTH, shed=0.5),
    Pattern("a quarter is lost", BOTH, lost=0.25),
    Pattern("a quarter is silent", BOTH, silent=0.25),
    Pattern("a quarter is slow", BOTH, slow=5.0),
    Pattern("callers return at once", FULL, burst=1.7, returns=3),
    Pattern("unequal domains", ORDERS, (2, 5, 5, 4), (2.0, 1.0, 1.0, 1.0)),
    Pattern("a domain's instances are lost", BOTH, lost_domain=True),
    Pattern("views differ", ORDERS, told=None),
)
