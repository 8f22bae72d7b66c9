"""Types of what a VM learns of instances, and of who is told."""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import balance
from primrosemill.decisions import belief as beliefs
from primrosemill.proxy import headers

# Sources of the news that an instance is leaving.
OWN_WORD = "answer"
PEER = "peer"


class Changed(typing.NamedTuple):
    """What this VM believes of an instance changed, and why.

    ``failed`` tells that it failed a request, ``shared`` that this VM saw it
    itself and peers should know; ``at`` is the trio time of the failure, or
    of the start of the request that was answered well.
    """

    service: str
    instance: documents.Instance
    change: beliefs.Change
    cause: str
    failed: bool
    shared: bool
    at: float
    request_id: str = ""


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
