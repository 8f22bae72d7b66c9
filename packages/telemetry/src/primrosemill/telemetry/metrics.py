"""Creates the Prometheus metrics of a VM.

Each metric is described in docs/metrics.md, and a test compares the two.
Label values are members of enumerations, so their number is bounded.
"""

import enum
import functools
import itertools
import typing

import prometheus_client

PREFIX = "primrosemill_"
LATENCY_BUCKETS = (  # seconds
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1),
    *(0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
)


class EnumCounter:
    """Counts events by the members of enumerations.

    The children of all label values are created at once, so each reason is
    exported as 0 before it first occurs, and counting needs one look-up.
    """

    def __init__(
        self,
        name: str,
        help_text: str,
        label: str,
        values: typing.Iterable[enum.StrEnum],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        counter = prometheus_client.Counter(
            PREFIX + name, help_text, [label], registry=registry
        )
        self._children_by_value = {
            value: counter.labels(value.value) for value in values
        }

    def count(self, value: enum.StrEnum) -> None:
        """Add 1 to the counter of a value."""
        self._children_by_value[value].inc()


class EnumPairCounter:
    """Sums amounts by pairs of members of two enumerations."""

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, str],
        values: tuple[type[enum.StrEnum], type[enum.StrEnum]],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        counter = prometheus_client.Counter(
            PREFIX + name, help_text, labels, registry=registry
        )
        self._children_by_pair = {
            pair: counter.labels(*pair) for pair in itertools.product(*values)
        }

    def add(
        self, first: enum.StrEnum, second: enum.StrEnum, amount: float
    ) -> None:
        """Add an amount to the counter of a pair."""
        self._children_by_pair[first, second].inc(amount)


def make_counter(
    name: str, help_text: str, registry: prometheus_client.CollectorRegistry
) -> prometheus_client.Counter:
    """Return a counter without labels."""
    return prometheus_client.Counter(
        PREFIX + name, help_text, registry=registry
    )


def make_latency_histogram(
    name: str, help_text: str, registry: prometheus_client.CollectorRegistry
) -> prometheus_client.Histogram:
    """Return a histogram of latencies in seconds."""
    return prometheus_client.Histogram(
        PREFIX + name, help_text, buckets=LATENCY_BUCKETS, registry=registry
    )


def make_gauge(
    name: str,
    help_text: str,
    read: typing.Callable[[], float],
    registry: prometheus_client.CollectorRegistry,
) -> prometheus_client.Gauge:
    """Return a gauge that calls ``read`` whenever the metrics are read."""
    gauge = prometheus_client.Gauge(
        PREFIX + name, help_text, registry=registry
    )
    gauge.set_function(read)
    return gauge


def make_enum_gauge(
    name: str,
    help_text: str,
    label: str,
    values: type[enum.StrEnum],
    read: typing.Callable[[typing.Any], float],
    registry: prometheus_client.CollectorRegistry,
) -> None:
    """Create a gauge with a child for each member of an enumeration.

    ``read`` is called with the member whenever the metrics are read.
    """
    gauge = prometheus_client.Gauge(
        PREFIX + name, help_text, [label], registry=registry
    )
    for value in values:
        child = gauge.labels(value.value)
        child.set_function(functools.partial(read, value))
