"""Admits callers' requests within the limits of the configuration.

Each service has home VMs, the VMs of the fleet that its callers are told to
use first. They grant larger shares of a caller's limit than other VMs.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import caller_limits
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.proxy import request_policies


class HomeView(typing.Protocol):
    """Provides the home VMs of services and this VM's identity."""

    own_vm: home_vms.Vm

    @property
    def vm_count(self) -> int:
        """Return the number of VMs that are candidates for home VMs."""
        ...

    def homes(self, service: str) -> tuple[home_vms.Vm, ...]:
        """Return the home VMs of a service."""
        ...


class CallerLimiter:
    """Enforces this VM's share of each caller's limit at each service."""

    def __init__(self, home_view: HomeView) -> None:
        self._home_view = home_view
        self._limits = caller_limits.CallerLimits()
        self._document = documents.empty_document("")

    def set_document(self, document: documents.Document) -> None:
        """Apply the limits of a new version of the configuration."""
        self._document = document

    def admit(
        self, caller: str, service: str, now: float
    ) -> request_policies.Refused | None:
        """Return None to admit the request."""
        share = caller_limits.vm_share(
            self._home_view.own_vm,
            caller,
            self._home_view.homes(service),
            self._home_view.vm_count,
        )
        limit = caller_limits.limit_of(self._document, caller)
        exceeded = self._limits.take(service, caller, limit, share, now)
        if exceeded is None:
            return None
        # A limit of zero gives an infinite time, so the maximum is sent.
        retry_after = min(exceeded.retry_after, caller_limits.MAX_RETRY_AFTER)
        return request_policies.Refused(
            outcomes.RefusalReason.CALLER_LIMIT, retry_after
        )
