"""Compares random pipelines, split at random bytes, with a reference."""

import typing

import hypothesis
from hypothesis import strategies
import testtools
import trio

from tests.builders import pipelines
from tests.builders import users_platform as builders

EXAMPLES = 25
SPLIT_PAUSE = 0.002  # seconds between two pieces of what is sent
MOST_REQUESTS = 12  # more than are read ahead


class Sent(typing.NamedTuple):
    """What a caller sends; ``status`` is its answer, ``ends`` the line."""

    form: str
    status: int = 200
    ends: bool = False


READ = Sent("read")
ONCE = Sent("once")
BODY = Sent("body")
CHUNKS = Sent("chunks")
NO_ROUTE = Sent("no route", 404)
CLOSES = Sent("closes", 200, True)
GARBAGE = Sent("garbage", 400, True)
FORMS = (READ, ONCE, BODY, CHUNKS, NO_ROUTE, CLOSES, GARBAGE)


def render(sent: Sent, request_id: str) -> bytes:
    if sent is READ:
        return pipelines.request(request_id)
    if sent is ONCE:
        return pipelines.once(request_id)
    if sent is BODY:
        return pipelines.once(request_id, body=b"b" * 3_000)
    if sent is CHUNKS:
        head = pipelines.once(
            request_id, lines=("transfer-encoding: chunked",)
        )
        return head + b"5\r\nhello\r\n0\r\n\r\n"
    if sent is NO_ROUTE:
        return pipelines.request(request_id, target="/other/")
    if sent is CLOSES:
        return pipelines.request(request_id, lines=("connection: close",))
    return b"\x00 no request\r\n\r\n"


def expect(line: list[Sent]) -> tuple[list[int], list[str]]:
    """Return the statuses and the ids that instances run."""
    statuses, ids = [], []
    for number, sent in enumerate(line):
        statuses.append(sent.status)
        if sent.status == 200:
            ids.append(f"r{number}")
        if sent.ends:
            break
    return statuses, ids


class PipelineFuzzTest(testtools.TestCase):
    @hypothesis.settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(FORMS), min_size=1, max_size=MOST_REQUESTS
        ),
        strategies.lists(
            strategies.integers(0, 6_000), max_size=6, unique=True
        ),
    )
    def test_each_is_run_and_answered_as_the_reference_says(self, line, cuts):
        data = b"".join(
            render(sent, f"r{number}") for number, sent in enumerate(line)
        )
        statuses, ids = expect(line)

        async def check(built):
            stream = await pipelines.connect(built)
            places = [0, *sorted(cut for cut in cuts if cut < len(data))]
            for start, end in zip(places, [*places[1:], None], strict=True):
                try:
                    await stream.send_all(data[start:end])
                except trio.BrokenResourceError:
                    break
                await trio.sleep(SPLIT_PAUSE)
            found = await pipelines.read_answers(
                stream, None if line[len(statuses) - 1].ends else len(statuses)
            )
            self.assertEqual(statuses, [each.status for each in found])
            self.assertEqual(ids, pipelines.ids_run(built))

        builders.run(check, count=1)
