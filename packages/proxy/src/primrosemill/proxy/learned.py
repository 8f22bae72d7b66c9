"""Types of what a VM learns of instances, and of who is told."""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import avoidance
from primrosemill.decisions import balance
from primrosemill.proxy import headers

# Sources of the news that an instance is leaving.
OWN_WORD = "answer"
PEER = "peer"


class Changed(typing.NamedTuple):
    """The trust of this VM in an instance changed, and why."""

    service: str
    boot: int
    verdict: avoidance.Verdict
    cause: str
    domain: str
    request_id: str = ""
    shared: bool = False


class Departure(typing.NamedTuple):
    """An instance is leaving by its own word, told here or to a peer."""

    service: str
    instance: documents.Instance
    source: str
    request_id: str = ""


class Pause(typing.NamedTuple):
    """An instance wants no request for some seconds.

    ``fault`` tells why its wish can't be used as it is.
    """

    service: str
    instance_id: str
    boot: int
    seconds: float
    request_id: str
    fault: headers.BadPause | None = None


OnChange = typing.Callable[[Changed], None]
OnDeparture = typing.Callable[[Departure], None]
OnCrossing = typing.Callable[[balance.Crossing], None]
OnPause = typing.Callable[[Pause], None]


class Listeners(typing.NamedTuple):
    """Who is told of what this VM learns of instances."""

    on_change: OnChange
    on_departure: OnDeparture
    on_pause: OnPause
    on_crossing: OnCrossing
