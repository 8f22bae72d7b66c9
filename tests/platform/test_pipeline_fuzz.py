"""Compares random pipelines, split at random positions, with a reference."""

import typing

import hypothesis
from hypothesis import strategies
import testtools
import trio

from tests.builders import pipelines
from tests.builders import users_platform as builders

EXAMPLES = 25
SPLIT_PAUSE = 0.002  # seconds between two pieces of the sent bytes
MAX_REQUESTS = 12  # more than the VM reads ahead


class Message(typing.NamedTuple):
    """A message of a caller, and its expected effect.

    ``closes`` means that the connection closes after its answer.
    """

    kind: str
    status: int = 200
    closes: bool = False


READ = Message("read")
ONCE = Message("once")
BODY = Message("body")
CHUNKS = Message("chunks")
NO_ROUTE = Message("no route", 404)
CLOSES = Message("closes", 200, True)
GARBAGE = Message("garbage", 400, True)
KINDS = (READ, ONCE, BODY, CHUNKS, NO_ROUTE, CLOSES, GARBAGE)


def render(message: Message, request_id: str) -> bytes:
    if message is READ:
        return pipelines.request(request_id)
    if message is ONCE:
        return pipelines.once(request_id)
    if message is BODY:
        return pipelines.once(request_id, body=b"b" * 3_000)
    if message is CHUNKS:
        head = pipelines.once(
            request_id, lines=("transfer-encoding: chunked",)
        )
        return head + b"5\r\nhello\r\n0\r\n\r\n"
    if message is NO_ROUTE:
        return pipelines.request(request_id, target="/other/")
    if message is CLOSES:
        return pipelines.request(request_id, lines=("connection: close",))
    return b"\x00 no request\r\n\r\n"


def expect(messages: list[Message]) -> tuple[list[int], list[str]]:
    """Return the expected statuses, and the ids of requests that run."""
    statuses, ids = [], []
    for number, message in enumerate(messages):
        statuses.append(message.status)
        if message.status == 200:
            ids.append(f"r{number}")
        if message.closes:
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
            strategies.sampled_from(KINDS), min_size=1, max_size=MAX_REQUESTS
        ),
        strategies.lists(
            strategies.integers(0, 6_000), max_size=6, unique=True
        ),
    )
    def test_statuses_and_runs_match_the_reference(self, messages, cuts):
        data = b"".join(
            render(message, f"r{number}")
            for number, message in enumerate(messages)
        )
        statuses, ids = expect(messages)

        async def check(built):
            stream = await pipelines.connect(built)
            starts = [0, *sorted(cut for cut in cuts if cut < len(data))]
            for start, end in zip(starts, [*starts[1:], None], strict=True):
                try:
                    await stream.send_all(data[start:end])
                except trio.BrokenResourceError:
                    break
                await trio.sleep(SPLIT_PAUSE)
            answers = await pipelines.read_answers(
                stream,
                None if messages[len(statuses) - 1].closes else len(statuses),
            )
            self.assertEqual(statuses, [each.status for each in answers])
            self.assertEqual(ids, pipelines.ids_run(built))

        builders.run(check, count=1)
