"""Observations of instances, and the callbacks that receive them."""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import instance_limits
from primrosemill.decisions import instance_selection
from primrosemill.proxy import headers

# Sources of a departure.
SOURCE_ANSWER = "answer"
SOURCE_PEER = "peer"


class BeliefUpdate(typing.NamedTuple):
    """A change of this VM's belief in an instance, and its cause.

    ``failed`` is True if the instance failed a request, ``shareable`` if this
    VM observed the event itself and should notify peers. ``observed_at`` is
    the trio time of a failure, or of the start of a successful request.
    """

    service: str
    instance: documents.Instance
    change: beliefs.Change
    cause: str
    failed: bool
    shareable: bool
    observed_at: float
    request_id: str = ""


class Departure(typing.NamedTuple):
    """An instance announced, to this VM or to a peer, that it is leaving."""

    service: str
    instance: documents.Instance
    source: str
    request_id: str = ""


class Pause(typing.NamedTuple):
    """An instance asked to be sent no requests for some seconds.

    ``fault`` is set if the announced value is malformed or out of range.
    """

    service: str
    instance_id: str
    boot: int
    seconds: float
    request_id: str
    fault: headers.InvalidPause | None = None


class LimitUpdate(typing.NamedTuple):
    """An instance named, changed or dropped a limit of its requests.

    ``change`` is None if the limit is the same, and ``statement`` is what is
    known of it now. ``fault`` is set if the named value is invalid.
    """

    service: str
    instance: documents.Instance
    source: str
    change: instance_limits.Change | None = None
    statement: instance_limits.Statement | None = None
    request_id: str = ""
    fault: headers.InvalidLimit | None = None


class Start(typing.NamedTuple):
    """A request of this VM to an instance that peers may take for idle."""

    service: str
    instance: documents.Instance


class LimitShare(typing.NamedTuple):
    """The part of an instance's limit that this VM may use, in requests/s.

    Both are None if the instance has no limit any more.
    """

    service: str
    instance: documents.Instance
    limit: float | None
    own_rate: float | None


OnBeliefUpdate = typing.Callable[[BeliefUpdate], None]
OnDeparture = typing.Callable[[Departure], None]
OnCrossing = typing.Callable[[instance_selection.Crossing], None]
OnPause = typing.Callable[[Pause], None]
OnLimit = typing.Callable[[LimitUpdate], None]
OnStart = typing.Callable[[Start], None]


def _ignore_start(start: Start) -> None:
    pass


class Listeners(typing.NamedTuple):
    """Callbacks for what this VM learns of instances."""

    on_belief_update: OnBeliefUpdate
    on_departure: OnDeparture
    on_pause: OnPause
    on_limit: OnLimit
    on_crossing: OnCrossing
    on_start: OnStart = _ignore_start
