"""Passes requests on to other VMs while this one reaches no instance.

A helper is a VM that callers may be sent to. It serves the request as one of
its own, with its queue, budgets and instances, and never passes it on again.
"""

import enum
import math
import random
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import reachability
from primrosemill.proxy import attempts
from primrosemill.proxy import forwarding_tickets
from primrosemill.proxy import headers
from primrosemill.proxy import path_watch

MAX_HELPERS_TRIED = 3  # for one request
MAX_IN_FLIGHT = 256  # forwarded requests of one VM
# A helper that could not serve a request is left alone for this long.
HELPER_PAUSE = 0.5  # seconds
# Callers that are refused may ask another VM at once.
RETRY_AFTER = 0.05  # seconds


class Passage(enum.StrEnum):
    """How a request that was passed on ended, and those that arrive."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"


# The VMs that may serve a request, with their addresses for callers, in groups
# of which the first is preferred.
Helpers = list[list[documents.Instance]]


class PeerForwarding:
    """Decides when and to whom one VM passes requests on."""

    def __init__(
        self,
        paths: path_watch.PathWatch,
        find_helpers: typing.Callable[[], Helpers],
        issuer: forwarding_tickets.Issuer,
        generator: random.Random,
        count: typing.Callable[[Passage], None],
    ) -> None:
        self._paths = paths
        self._find_helpers = find_helpers
        self._issuer = issuer
        self._generator = generator
        self.count = count
        self.in_flight = 0
        # When a helper last served a request of this VM, a trio time.
        self.served_at = -math.inf
        self._pause_end_by_id: dict[str, float] = {}

    def is_cut(self, service: str) -> bool:
        """Return whether this VM reaches no instance of a service."""
        return self._paths.state(service) is reachability.State.CUT

    def opens_no_connections(self, service: str) -> bool:
        """Return whether only connections that are open can be used."""
        state = self._paths.state(service)
        return state is reachability.State.NO_NEW_CONNECTIONS

    def choose_helper(
        self, tried_ids: typing.Collection[str]
    ) -> documents.Instance | None:
        """Return a VM to pass a request on to, or None."""
        if len(tried_ids) >= MAX_HELPERS_TRIED:
            return None
        if self.in_flight >= MAX_IN_FLIGHT:
            return None
        now = trio.current_time()
        groups = self._find_helpers()
        if tried_ids:
            # The VMs nearby may be cut off as well.
            groups.reverse()
        for group in groups:
            candidates = [
                each
                for each in group
                if each.id not in tried_ids
                and self._pause_end_by_id.get(each.id, now) <= now
            ]
            if candidates:
                return self._generator.choice(candidates)
        return None

    def build_outgoing(
        self, outgoing: attempts.Outgoing, service: str, attempted: int
    ) -> attempts.Outgoing:
        """Return a request as it is sent to a helper."""
        request = forwarding_tickets.Request(
            outgoing.method, outgoing.target, outgoing.request_id or b""
        )
        ticket = self._issuer.issue(request, service, attempted)
        added_headers = [(headers.FORWARDING_TICKET, ticket)]
        if outgoing.credentials is not None:
            added_headers.append((headers.AUTHORIZATION, outgoing.credentials))
        return outgoing._replace(
            headers=[*outgoing.headers, *added_headers],
            dialect=outgoing.dialect._replace(expected_instance=None),
        )

    def record_end(self, helper_id: str, passage: Passage) -> None:
        """Record how a request that was passed on has ended."""
        self.count(passage)
        now = trio.current_time()
        if passage is Passage.ANSWERED:
            self.served_at = now
            self._pause_end_by_id.pop(helper_id, None)
        else:
            self._pause_end_by_id[helper_id] = now + HELPER_PAUSE
