"""Checks the demo's guarantees and summarizes the request results."""

import collections
import typing

from hdrh import histogram

from primrosemill.measure import demo_fleet
from primrosemill.measure import demo_monitor
from primrosemill.measure import demo_traffic
from primrosemill.proofs import history

MAX_LATENCY = 60_000_000  # microseconds
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000
SIGNIFICANT_DIGITS = 3
STATUS_OK = 200
DETECTION_LIMIT = 5.0  # seconds
PROPAGATION_LIMIT = 5.0  # seconds
MAX_EXAMPLES = 3


class Phase(typing.NamedTuple):
    """A part of the demo, until the next one; times are of trio's clock."""

    name: str
    started: float


class Times(typing.NamedTuple):
    """Durations in seconds, None for what did not happen in time."""

    detection: float | None = None
    ejection: float | None = None
    recovery: float | None = None
    propagation: float | None = None
    shutdown: float | None = None


class Guarantee(typing.NamedTuple):
    """A guarantee of the fleet, and whether it held."""

    text: str
    held: bool
    detail: str = ""


def percentiles(
    results: typing.Iterable[demo_traffic.RequestResult],
) -> tuple[float, float]:
    """Return the 50th and 99th percentile of latencies in milliseconds."""
    latencies = histogram.HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
    for each in results:
        latencies.record_value(
            max(1, int(each.elapsed * MICROSECONDS_PER_SECOND))
        )
    median = latencies.get_value_at_percentile(50)
    percentile_99 = latencies.get_value_at_percentile(99)
    return (
        median / MICROSECONDS_PER_MILLISECOND,
        percentile_99 / MICROSECONDS_PER_MILLISECOND,
    )


def describe_phases(
    phases: list[Phase], results: list[demo_traffic.RequestResult]
) -> list[str]:
    """Return one line for each phase that summarizes its requests."""
    lines = []
    ends = [phase.started for phase in phases[1:]] + [float("inf")]
    for phase, end in zip(phases, ends, strict=True):
        phase_results = [
            each for each in results if phase.started <= each.started < end
        ]
        if not phase_results:
            continue
        counts = collections.Counter(
            _describe_outcome(each.call) for each in phase_results
        )
        summary = ", ".join(
            f"{count} {name}" for name, count in counts.most_common()
        )
        median, percentile_99 = percentiles(phase_results)
        lines.append(
            f"  {phase.name:<22} {len(phase_results):5d} requests: {summary}; "
            f"50 % in {median:.1f} ms, 99 % in {percentile_99:.1f} ms"
        )
    return lines


def _describe_outcome(call: history.Call) -> str:
    if call.incomplete:
        return "broken off"
    if call.outcome == history.ANSWERED and call.status != STATUS_OK:
        return f"answered {call.status}"
    return call.outcome or "without outcome"


def check_guarantees(
    fleet: demo_fleet.Fleet,
    monitor: demo_monitor.StatusMonitor,
    results: list[demo_traffic.RequestResult],
    times: Times,
    gray_instance_id: str,
) -> list[Guarantee]:
    """Return all guarantees, each with whether it held."""
    calls = tuple(each.call for each in results)
    violations = history.check(
        history.History(calls, count_runs_by_tag(fleet))
    )
    unanswered = [
        call
        for call in calls
        if call.idempotent and _describe_outcome(call) != history.ANSWERED
    ]
    broken_off = [call.tag for call in calls if call.incomplete]
    false_removals = monitor.false_removals(gray_instance_id)
    return [
        Guarantee(
            "every answer whole and its caller's own; bookings run at most "
            "once; 'not run' true",
            not violations,
            _format_examples(violations),
        ),
        Guarantee(
            "every slot listing answered",
            not unanswered,
            _format_examples(
                [(call.tag, _describe_outcome(call)) for call in unanswered]
            ),
        ),
        Guarantee(
            "no VM prefers the sick instance any more within "
            f"{DETECTION_LIMIT:g} s",
            _within(times.detection, DETECTION_LIMIT),
            _describe_time(times.detection),
        ),
        Guarantee(
            f"every VM has ejected it within {DETECTION_LIMIT:g} s",
            _within(times.ejection, DETECTION_LIMIT),
            _describe_time(times.ejection),
        ),
        Guarantee(
            "no instance that was well taken out",
            not false_removals,
            _format_examples(false_removals),
        ),
        Guarantee(
            f"never fewer than {demo_fleet.FLOOR} instances in rotation",
            monitor.min_in_rotation >= demo_fleet.FLOOR,
            f"fewest {monitor.min_in_rotation}",
        ),
        Guarantee(
            "the instance back in rotation after it recovered",
            times.recovery is not None,
            _describe_time(times.recovery),
        ),
        Guarantee(
            f"a new version in force on every VM within "
            f"{PROPAGATION_LIMIT:g} s, one of them without the store",
            _within(times.propagation, PROPAGATION_LIMIT),
            _describe_time(times.propagation),
        ),
        Guarantee(
            "a VM left, and no request was ever broken off",
            times.shutdown is not None and not broken_off,
            _format_examples(broken_off) or _describe_time(times.shutdown),
        ),
    ]


def _within(seconds: float | None, limit: float) -> bool:
    return seconds is not None and seconds <= limit


def _describe_time(seconds: float | None) -> str:
    return "not at all" if seconds is None else f"{seconds:.2f} s"


def count_runs_by_tag(fleet: demo_fleet.Fleet) -> dict[str, int]:
    """Return how often each request ran on all instances together."""
    run_counts: collections.Counter[str] = collections.Counter()
    for standin in fleet.instances_by_id.values():
        run_counts.update(standin.runs_by_tag)
    return dict(run_counts)


def _format_examples(items: typing.Sequence[typing.Any]) -> str:
    if not items:
        return ""
    shown = "; ".join(str(item) for item in items[:MAX_EXAMPLES])
    return f"{len(items)}: {shown}"
