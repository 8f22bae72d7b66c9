"""Admits callers' requests within the limits of the document."""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import homes as home_vms
from primrosemill.decisions import limits
from primrosemill.decisions import outcomes
from primrosemill.proxy import plugs


class HomeView(typing.Protocol):
    """Tells this VM's place among the homes of services."""

    own: home_vms.Vm

    @property
    def vm_count(self) -> int:
        """Return the number of VMs that may be homes."""
        ...

    def homes(self, service: str) -> tuple[home_vms.Vm, ...]:
        """Return the homes of a service."""
        ...


class LimitCallers:
    """Grants this VM's share of each caller's limit at each service."""

    def __init__(self, view: HomeView) -> None:
        self._view = view
        self._limits = limits.CallerLimits()
        self._document = documents.empty_document("")

    def set_document(self, document: documents.Document) -> None:
        """Take the limits of a new version."""
        self._document = document

    def admit(
        self, caller: str, service: str, now: float
    ) -> plugs.Refused | None:
        """Return None to let the request in."""
        share = limits.share_of(
            self._view.own,
            caller,
            self._view.homes(service),
            self._view.vm_count,
        )
        limit = limits.limit_of(self._document, caller)
        over = self._limits.take(service, caller, limit, share, now)
        if over is None:
            return None
        # A caller that may never come is told the longest time.
        retry_after = min(over.retry_after, limits.MOST_RETRY_AFTER)
        return plugs.Refused(outcomes.RefusalReason.CALLER_LIMIT, retry_after)
