"""Tells which requests the logs show as lost, and why.

For each lost request it says what its VM believed of the instance, what any
VM had last seen there, and whether another instance was known to be better.
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

HEADS = ("SERVICE", "CAUSE", "BEFORE", "BETTER", "REQUESTS", "CHANCE")
FIRST_ERROR_STATUS = 500
# What was seen longer ago says little of an instance that fails in spells of
# some seconds.
MEMORY = 5.0  # seconds
# A good answer by another instance so lately would have made it the better
# choice.
FRESH = 1.0  # seconds
NOTHING = "nothing_seen"


class Loss(typing.NamedTuple):
    """One lost request; the time is in seconds since the epoch.

    ``before`` is what was last seen of the instance, ``better`` whether
    another one of the service had just answered well.
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


class _Sent(typing.NamedTuple):
    record: logs.Record
    service: str
    instance_id: str


class _Seen(typing.NamedTuple):
    time: float
    good: bool
    vm: str


class History:
    """What the VMs met at each instance, in order."""

    def __init__(self) -> None:
        self._seen_by_id: dict[str, list[_Seen]] = {}
        self._ids_by_service: dict[str, set[str]] = {}

    def note(self, service: str, instance_id: str, seen: _Seen) -> None:
        """Add what a VM met; call it in the order of times."""
        self._seen_by_id.setdefault(instance_id, []).append(seen)
        self._ids_by_service.setdefault(service, set()).add(instance_id)

    def before(self, instance_id: str, time: float, vm: str) -> str:
        """Return in a word what was last seen there before a time."""
        last = self._last(instance_id, time)
        if last is None or time - last.time > MEMORY:
            return NOTHING
        if last.good:
            return "well"
        return "failed_here" if last.vm == vm else "failed_elsewhere"

    def has_better(self, service: str, instance_id: str, time: float) -> bool:
        """Tell whether another instance had just answered well."""
        for other_id in self._ids_by_service.get(service, ()):
            if other_id == instance_id:
                continue
            last = self._last(other_id, time)
            if last is not None and last.good and time - last.time < FRESH:
                return True
        return False

    def _last(self, instance_id: str, time: float) -> _Seen | None:
        seen = self._seen_by_id.get(instance_id, [])
        place = bisect.bisect_left(seen, time, key=lambda each: each.time)
        return seen[place - 1] if place else None


def find(records: typing.Sequence[logs.Record]) -> list[Loss]:
    """Return the requests that were lost; records in the order of times."""
    sent_by_id: dict[str, list[_Sent]] = collections.defaultdict(list)
    ended_ids = set()
    history = History()
    for record in records:
        fields = record.fields
        request_id = fields.get("request_id", "")
        if record.event == "request_sent":
            sent = _Sent(record, fields["service"], fields["instance_id"])
            sent_by_id[request_id].append(sent)
        elif record.event == "request_ended":
            ended_ids.add(request_id)
        elif record.event == "attempt_ended" and request_id in sent_by_id:
            good = fields["outcome"].startswith("status_2")
            service = sent_by_id[request_id][-1].service
            seen = _Seen(record.time, good, record.vm)
            history.note(service, fields["instance_id"], seen)
    losses = []
    for record in records:
        if record.event != "request_ended":
            continue
        cause = _cause(record.fields)
        if cause is not None:
            request_id = record.fields["request_id"]
            sent = sent_by_id.get(request_id, [])
            losses.append(_loss(record, cause, sent, history))
    for request_id, sent in sent_by_id.items():
        # Its VM ended, or the log did, before the request.
        if request_id not in ended_ids:
            losses.append(_loss(sent[-1].record, "no_end", sent, history))
    return sorted(losses)


def _cause(fields: dict[str, typing.Any]) -> str | None:
    """Return why a request was lost; None where it was not."""
    ending, detail = fields["ending"], fields["detail"]
    if ending == "relayed":
        failed = detail >= FIRST_ERROR_STATUS
        return f"own_error_{detail}" if failed else None
    if ending == "callergone":
        return None
    return f"{ending}_{detail}"


def _loss(
    record: logs.Record, cause: str, sent: list[_Sent], history: History
) -> Loss:
    request_id = record.fields["request_id"]
    if not sent:
        return Loss(
            *(record.time, request_id, "", cause, record.vm, "", None),
            *(NOTHING, False),
        )
    last = sent[-1]
    began = last.record
    return Loss(
        record.time,
        request_id,
        last.service,
        cause,
        began.vm,
        last.instance_id,
        began.fields.get("chance"),
        history.before(last.instance_id, began.time, began.vm),
        history.has_better(last.service, last.instance_id, began.time),
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
    found = find(records)
    if as_json:
        click.echo(msgspec.json.encode(found))
        return
    for text in tables.lay_out(HEADS, _rows(found)):
        click.echo(text)
    if seconds and found:
        click.echo()
        for text in tables.lay_out(
            ("SECOND", "CAUSE", "REQUESTS"),
            _rows_by_second(found, records[0].time),
        ):
            click.echo(text)


def _rows(found: list[Loss]) -> list[tuple[str, ...]]:
    """Return a row for each service, cause and state, the most first."""
    losses_by_kind: dict[tuple[str, ...], list[Loss]] = {}
    for loss in found:
        kind = (loss.service or "-", loss.cause, loss.before)
        losses_by_kind.setdefault(kind, []).append(loss)
    rows = []
    for kind, losses in sorted(
        losses_by_kind.items(), key=lambda item: (-len(item[1]), item[0])
    ):
        chances = [
            loss.chance for loss in losses if isinstance(loss.chance, float)
        ]
        mean = f"{sum(chances) / len(chances):.2f}" if chances else "-"
        better = sum(loss.better for loss in losses)
        rows.append((*kind, str(better), str(len(losses)), mean))
    return rows


def _rows_by_second(found: list[Loss], start: float) -> list[tuple[str, ...]]:
    counts: collections.Counter[tuple[int, str]] = collections.Counter(
        (int(loss.time - start), loss.cause) for loss in found
    )
    return [
        (str(second), cause, str(count))
        for (second, cause), count in sorted(counts.items())
    ]
