"""Reports the requests that were lost according to the logs, and why.

For each of them it shows the chance of success that its VM expected of the
instance, the last outcome that any VM had observed there, and whether another
instance of the service had just succeeded.
"""

import bisect
import collections
import pathlib
import typing

import click
import msgspec

from primrosemill.cli import exits
from primrosemill.cli import logs
from primrosemill.cli import tables

HEADERS = ("SERVICE", "CAUSE", "BEFORE", "BETTER", "REQUESTS", "CHANCE")
FIRST_ERROR_STATUS = 500
# Gray failures come in episodes of a few seconds, so an older outcome says
# little about an instance.
OUTCOME_MAX_AGE = 5.0  # seconds
# An instance that succeeded this recently would have been the better choice.
RECENT_SUCCESS_MAX_AGE = 1.0  # seconds
NO_OUTCOME = "nothing_seen"


class Loss(typing.NamedTuple):
    """One lost request; the time is in seconds since the epoch.

    ``before`` describes the last outcome observed at the instance;
    ``better`` tells whether another instance of the service had just
    succeeded.
    """

    time: float
    request_id: str
    service: str
    cause: str
    vm: str
    instance_id: str
    chance: float | None
    before: str
    better: bool


class _Attempt(typing.NamedTuple):
    record: logs.Record
    service: str
    instance_id: str


class _Outcome(typing.NamedTuple):
    time: float
    succeeded: bool
    vm: str


class OutcomeHistory:
    """Outcomes that all VMs observed at each instance, in order of time."""

    def __init__(self) -> None:
        self._outcomes_by_id: dict[str, list[_Outcome]] = {}
        self._ids_by_service: dict[str, set[str]] = {}

    def record_outcome(
        self, service: str, instance_id: str, outcome: _Outcome
    ) -> None:
        """Record an outcome; call in the order of the outcomes' times."""
        self._outcomes_by_id.setdefault(instance_id, []).append(outcome)
        self._ids_by_service.setdefault(service, set()).add(instance_id)

    def describe_last(self, instance_id: str, time: float, vm: str) -> str:
        """Describe the last outcome before a time, as seen from a VM."""
        last = self._find_last(instance_id, time)
        if last is None or time - last.time > OUTCOME_MAX_AGE:
            return NO_OUTCOME
        if last.succeeded:
            return "well"
        return "failed_here" if last.vm == vm else "failed_elsewhere"

    def has_other_success(
        self, service: str, instance_id: str, time: float
    ) -> bool:
        """Tell whether another instance had just succeeded."""
        for other_id in self._ids_by_service.get(service, ()):
            if other_id == instance_id:
                continue
            last = self._find_last(other_id, time)
            if (
                last is not None
                and last.succeeded
                and time - last.time < RECENT_SUCCESS_MAX_AGE
            ):
                return True
        return False

    def _find_last(self, instance_id: str, time: float) -> _Outcome | None:
        outcomes = self._outcomes_by_id.get(instance_id, [])
        index = bisect.bisect_left(
            outcomes, time, key=lambda outcome: outcome.time
        )
        return outcomes[index - 1] if index else None


def find_losses(records: typing.Sequence[logs.Record]) -> list[Loss]:
    """Return the lost requests, from records that are sorted by time."""
    attempts_by_id: dict[str, list[_Attempt]] = collections.defaultdict(list)
    ended_ids = set()
    history = OutcomeHistory()
    for record in records:
        fields = record.fields
        request_id = fields.get("request_id", "")
        if record.event == "request_sent":
            attempt = _Attempt(
                record, fields["service"], fields["instance_id"]
            )
            attempts_by_id[request_id].append(attempt)
        elif record.event == "request_ended":
            ended_ids.add(request_id)
        elif record.event == "attempt_ended" and request_id in attempts_by_id:
            succeeded = fields["outcome"].startswith("status_2")
            service = attempts_by_id[request_id][-1].service
            outcome = _Outcome(record.time, succeeded, record.vm)
            history.record_outcome(service, fields["instance_id"], outcome)
    losses = []
    for record in records:
        if record.event != "request_ended":
            continue
        cause = _find_cause(record.fields)
        if cause is not None:
            request_id = record.fields["request_id"]
            attempts = attempts_by_id.get(request_id, [])
            losses.append(_build_loss(record, cause, attempts, history))
    for request_id, attempts in attempts_by_id.items():
        # The VM stopped, or its log ends, before the request did.
        if request_id not in ended_ids:
            losses.append(
                _build_loss(attempts[-1].record, "no_end", attempts, history)
            )
    return sorted(losses)


def _find_cause(fields: dict[str, typing.Any]) -> str | None:
    """Return why a request was lost, or None if it was not."""
    ending, detail = fields["ending"], fields["detail"]
    if ending == "relayed":
        failed = detail >= FIRST_ERROR_STATUS
        return f"own_error_{detail}" if failed else None
    if ending == "callergone":
        return None
    return f"{ending}_{detail}"


def _build_loss(
    record: logs.Record,
    cause: str,
    attempts: list[_Attempt],
    history: OutcomeHistory,
) -> Loss:
    request_id = record.fields["request_id"]
    if not attempts:
        return Loss(
            *(record.time, request_id, "", cause, record.vm, "", None),
            *(NO_OUTCOME, False),
        )
    last = attempts[-1]
    sent_record = last.record
    return Loss(
        record.time,
        request_id,
        last.service,
        cause,
        sent_record.vm,
        last.instance_id,
        sent_record.fields.get("chance"),
        history.describe_last(
            last.instance_id, sent_record.time, sent_record.vm
        ),
        history.has_other_success(
            last.service, last.instance_id, sent_record.time
        ),
    )


@click.command("losses", epilog=exits.HELP)
@logs.files_argument
@click.option("--json", "as_json", is_flag=True, help="Print each loss.")
@click.option(
    "--seconds", is_flag=True, help="Count by second of the logs, too."
)
def command(
    paths: tuple[pathlib.Path, ...], as_json: bool, seconds: bool
) -> None:
    """Show which requests the logs of VMs say were lost, and why.

    The files are named as for `explain`. BEFORE is what any VM had last seen
    of the instance, BETTER how many of the requests had another instance
    that had just answered well, CHANCE the mean that the VMs believed in.
    """
    records = logs.read_files(paths).records
    losses = find_losses(records)
    if as_json:
        click.echo(msgspec.json.encode(losses))
        return
    for line in tables.format_table(HEADERS, _rows_by_kind(losses)):
        click.echo(line)
    if seconds and losses:
        click.echo()
        for line in tables.format_table(
            ("SECOND", "CAUSE", "REQUESTS"),
            _rows_by_second(losses, records[0].time),
        ):
            click.echo(line)


def _rows_by_kind(losses: list[Loss]) -> list[tuple[str, ...]]:
    """Return a row per service, cause and last outcome, most losses first."""
    losses_by_kind: dict[tuple[str, ...], list[Loss]] = {}
    for loss in losses:
        kind = (loss.service or "-", loss.cause, loss.before)
        losses_by_kind.setdefault(kind, []).append(loss)
    rows = []
    for kind, same_kind in sorted(
        losses_by_kind.items(), key=lambda item: (-len(item[1]), item[0])
    ):
        chances = [
            loss.chance for loss in same_kind if isinstance(loss.chance, float)
        ]
        mean = f"{sum(chances) / len(chances):.2f}" if chances else "-"
        better_count = sum(loss.better for loss in same_kind)
        rows.append((*kind, str(better_count), str(len(same_kind)), mean))
    return rows


def _rows_by_second(losses: list[Loss], start: float) -> list[tuple[str, ...]]:
    counts: collections.Counter[tuple[int, str]] = collections.Counter(
        (int(loss.time - start), loss.cause) for loss in losses
    )
    return [
        (str(second), cause, str(count))
        for (second, cause), count in sorted(counts.items())
    ]
