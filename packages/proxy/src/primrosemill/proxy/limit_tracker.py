"""Tracks the request limits that instances name or peers report."""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import instance_limits
from primrosemill.decisions import instance_selection
from primrosemill.fleet import messages
from primrosemill.proxy import instance_observations
from primrosemill.proxy import limit_reports
from primrosemill.proxy import request_policies


class _Key(typing.NamedTuple):
    """One incarnation of an instance of a service."""

    service: str
    instance_id: str
    boot: int


class LimitTracker:
    """Applies limits to the instances of all services.

    ``on_update`` is called when the limit of an instance changes, when one is
    named again after a long time, and when an invalid one is named.
    """

    def __init__(self, on_update: instance_observations.OnLimit) -> None:
        self._on_update = on_update
        self._selectors_by_service: dict[
            str, instance_selection.InstanceSelector
        ] = {}
        # As last returned by take_share_changes.
        self._own_rates_by_key: dict[_Key, float | None] = {}

    def add_service(
        self, name: str, selector: instance_selection.InstanceSelector
    ) -> None:
        """Add a service with the selector of its instances."""
        self._selectors_by_service[name] = selector

    def record_reading(self, reading: request_policies.LimitReading) -> None:
        """Record the limit that an answer names, or that it names none."""
        start = reading.start
        selector = self._selectors_by_service.get(start.service)
        if selector is None:
            return
        if reading.limit is None and not selector.limits.any_named:
            return
        instance = selector.find(start.instance_id, start.boot)
        if instance is None:
            return
        if reading.limit is not None and reading.limit.is_error():
            self._record_fault(selector, instance, reading)
            return
        statement = instance_limits.Statement(
            None if reading.limit is None else reading.limit.ok,
            start.started,
            trio.current_time(),
        )
        change = selector.limits.record(instance, statement)
        if change is not None:
            self._on_update(
                instance_observations.LimitUpdate(
                    start.service,
                    instance,
                    instance_observations.SOURCE_ANSWER,
                    change,
                    statement,
                    start.request_id,
                )
            )

    def _record_fault(
        self,
        selector: instance_selection.InstanceSelector,
        instance: documents.Instance,
        reading: request_policies.LimitReading,
    ) -> None:
        fault = reading.limit.error
        if selector.limits.record_fault(instance, fault.value):
            self._on_update(
                instance_observations.LimitUpdate(
                    reading.start.service,
                    instance,
                    instance_observations.SOURCE_ANSWER,
                    request_id=reading.start.request_id,
                    fault=fault,
                )
            )

    def apply_reports(self, message: messages.Limits) -> None:
        """Record what a peer knows of the limits of instances."""
        now = trio.current_time()
        for report in message.limits:
            selector = self._selectors_by_service.get(report.service)
            if selector is None:
                continue
            instance = selector.find(report.instance_id, report.boot)
            if instance is None:
                continue
            statement = limit_reports.to_statement(report, now)
            change = selector.limits.record(instance, statement)
            selector.limits.record_heard(instance, now)
            if change is None:
                continue
            self._on_update(
                instance_observations.LimitUpdate(
                    report.service,
                    instance,
                    instance_observations.SOURCE_PEER,
                    change,
                    statement,
                )
            )

    def updates_to_repeat(
        self, now: float
    ) -> list[instance_observations.LimitUpdate]:
        """Return the limits of which this VM has to keep the others informed.

        Dropped limits are included for some time.
        """
        updates = []
        for name, selector in self._selectors_by_service.items():
            for instance in selector.limited_instances():
                if not selector.limits.is_to_repeat(instance, now):
                    continue
                updates.append(
                    instance_observations.LimitUpdate(
                        name,
                        instance,
                        instance_observations.SOURCE_ANSWER,
                        statement=selector.limits.statement(instance),
                    )
                )
        return updates

    def take_share_changes(
        self, now: float
    ) -> list[instance_observations.LimitShare]:
        """Return the parts of limits that changed since the last call."""
        own_rates_by_key: dict[_Key, float | None] = {}
        changes = []
        for name, selector in self._selectors_by_service.items():
            for instance in selector.limited_instances():
                key = _Key(name, instance.id, instance.boot)
                own_rate = selector.limits.own_rate(instance, now)
                own_rates_by_key[key] = own_rate
                if self._own_rates_by_key.get(key) == own_rate:
                    continue
                changes.append(
                    instance_observations.LimitShare(
                        name,
                        instance,
                        selector.limits.rate(instance),
                        own_rate,
                    )
                )
        self._own_rates_by_key = own_rates_by_key
        return changes
