"""Judges the demo's promises and prints what every request met."""

import collections
import typing

from hdrh import histogram

from primrosemill.measure import demo_callers
from primrosemill.measure import demo_fleet
from primrosemill.measure import demo_watch
from primrosemill.proofs import history

LONGEST = 60_000_000  # microseconds
MICROSECONDS = 1_000_000
MILLISECOND = 1_000  # microseconds
DIGITS = 3
STATUS_OK = 200
DETECTION_LIMIT = 5.0  # seconds
SPREAD_LIMIT = 5.0  # seconds
EXAMPLES_SHOWN = 3


class Phase(typing.NamedTuple):
    """A part of the demo, from one trio time to the next phase's."""

    name: str
    started: float


class Times(typing.NamedTuple):
    """How long things took in seconds; None: not at all."""

    detection: float | None = None
    ejection: float | None = None
    recovery: float | None = None
    spread: float | None = None
    leaving: float | None = None


class Promise(typing.NamedTuple):
    """What the fleet promises, and whether it held."""

    text: str
    held: bool
    detail: str = ""


def percentiles(met: typing.Iterable[demo_callers.Met]) -> tuple[float, float]:
    """Return the 50th and 99th percentile of latencies in milliseconds."""
    recorded = histogram.HdrHistogram(1, LONGEST, DIGITS)
    for each in met:
        recorded.record_value(max(1, int(each.elapsed * MICROSECONDS)))
    median = recorded.get_value_at_percentile(50)
    high = recorded.get_value_at_percentile(99)
    return median / MILLISECOND, high / MILLISECOND


def describe_phases(
    phases: list[Phase], met: list[demo_callers.Met]
) -> list[str]:
    """Return a line for each phase with what its requests met."""
    lines = []
    ends = [phase.started for phase in phases[1:]] + [float("inf")]
    for phase, end in zip(phases, ends, strict=True):
        inside = [each for each in met if phase.started <= each.started < end]
        if not inside:
            continue
        counts = collections.Counter(_ending(each.call) for each in inside)
        told = ", ".join(
            f"{count} {name}" for name, count in counts.most_common()
        )
        median, high = percentiles(inside)
        lines.append(
            f"  {phase.name:<22} {len(inside):5d} requests: {told}; "
            f"50 % in {median:.1f} ms, 99 % in {high:.1f} ms"
        )
    return lines


def _ending(call: history.Call) -> str:
    if call.broken:
        return "broken off"
    if call.outcome == history.ANSWERED and call.status != STATUS_OK:
        return f"answered {call.status}"
    return call.outcome or "without outcome"


def judge(
    fleet: demo_fleet.Fleet,
    watch: demo_watch.Watch,
    met: list[demo_callers.Met],
    times: Times,
    sick_id: str,
) -> list[Promise]:
    """Return every promise with whether it held."""
    calls = tuple(each.call for each in met)
    violations = history.check(history.History(calls, runs_by_tag(fleet)))
    unanswered = [
        call
        for call in calls
        if call.idempotent and _ending(call) != history.ANSWERED
    ]
    broken_off = [call.tag for call in calls if call.broken]
    wrongly_out = watch.wrongly_out(sick_id)
    return [
        Promise(
            "every answer whole and its caller's own; bookings run at most "
            "once; 'not run' true",
            not violations,
            _examples(violations),
        ),
        Promise(
            "every slot listing answered",
            not unanswered,
            _examples([(call.tag, _ending(call)) for call in unanswered]),
        ),
        Promise(
            "no VM prefers the sick instance any more within "
            f"{DETECTION_LIMIT:g} s",
            _within(times.detection, DETECTION_LIMIT),
            _describe_time(times.detection),
        ),
        Promise(
            f"every VM has ejected it within {DETECTION_LIMIT:g} s",
            _within(times.ejection, DETECTION_LIMIT),
            _describe_time(times.ejection),
        ),
        Promise(
            "no instance that was well taken out",
            not wrongly_out,
            _examples(wrongly_out),
        ),
        Promise(
            f"never fewer than {demo_fleet.FLOOR} instances in rotation",
            watch.fewest_in_rotation >= demo_fleet.FLOOR,
            f"fewest {watch.fewest_in_rotation}",
        ),
        Promise(
            "the instance back in rotation after it recovered",
            times.recovery is not None,
            _describe_time(times.recovery),
        ),
        Promise(
            f"a new version in force on every VM within {SPREAD_LIMIT:g} s, "
            "one of them without the store",
            _within(times.spread, SPREAD_LIMIT),
            _describe_time(times.spread),
        ),
        Promise(
            "a VM left, and no request was ever broken off",
            times.leaving is not None and not broken_off,
            _examples(broken_off) or _describe_time(times.leaving),
        ),
    ]


def _within(seconds: float | None, limit: float) -> bool:
    return seconds is not None and seconds <= limit


def _describe_time(seconds: float | None) -> str:
    return "not at all" if seconds is None else f"{seconds:.2f} s"


def runs_by_tag(fleet: demo_fleet.Fleet) -> dict[str, int]:
    """Return how often each request ran, on all instances together."""
    runs: collections.Counter[str] = collections.Counter()
    for standin in fleet.instances_by_id.values():
        runs.update(standin.runs_by_tag)
    return dict(runs)


def _examples(items: typing.Sequence[typing.Any]) -> str:
    if not items:
        return ""
    shown = "; ".join(str(item) for item in items[:EXAMPLES_SHOWN])
    return f"{len(items)}: {shown}"
