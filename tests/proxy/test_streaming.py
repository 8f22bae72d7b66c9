import functools

import testtools
import trio

from primrosemill.proxy import replay_body
from primrosemill.proxy import request_policies
from primrosemill.standins import instance
from tests.builders import answers
from tests.builders import path as builders

SHED = b"HTTP/1.1 503 X\r\nx-shed: 1\r\ncontent-length: 0\r\n\r\n"
PIECE = b"p" * 16_384
PIECES = 100


def messages(*chunks):
    remaining = [
        {"type": "http.request", "body": chunk, "more_body": True}
        for chunk in chunks
    ]
    remaining.append({"type": "http.request", "body": b"", "more_body": False})

    async def receive():
        return remaining.pop(0)

    return receive


class ReplayBodyTest(testtools.TestCase):
    async def _read(self, body):
        return b"".join([chunk async for chunk in body.chunks()])

    def test_a_body_within_the_buffer_can_be_read_again(self):
        async def check():
            body = replay_body.ReplayBody(messages(b"ab", b"cd"), absent=False)
            self.assertEqual(b"abcd", await self._read(body))
            self.assertTrue(body.replayable)
            self.assertEqual(b"abcd", await self._read(body))

        trio.run(check)

    def test_a_partly_read_body_can_be_read_from_its_start(self):
        async def check():
            body = replay_body.ReplayBody(messages(b"ab", b"cd"), absent=False)
            async for _ in body.chunks():
                break
            self.assertEqual(b"abcd", await self._read(body))

        trio.run(check)

    def test_a_body_larger_than_the_buffer_is_not_replayable(self):
        async def check():
            body = replay_body.ReplayBody(
                messages(b"ab", b"cd"), absent=False, buffer_size=3
            )
            self.assertEqual(b"abcd", await self._read(body))
            self.assertFalse(body.replayable)

        trio.run(check)

    def test_a_disconnect_raises_an_error(self):
        async def gone():
            return {"type": "http.disconnect"}

        async def check():
            body = replay_body.ReplayBody(gone, absent=False)
            with testtools.ExpectedException(
                replay_body.CallerDisconnectedError
            ):
                await self._read(body)

        trio.run(check)


class StreamingCase(testtools.TestCase):
    def run_with(self, standins, check, **options):
        trio.run(functools.partial(self._run, standins, check, options))

    async def _run(self, standins, check, options):
        async with trio.open_nursery() as nursery:
            addresses = await builders.start_standins(nursery, standins)
            path = await builders.start_path(nursery, addresses, **options)
            with trio.fail_after(20):
                await check(path)
            nursery.cancel_scope.cancel()


async def upload():
    for _ in range(PIECES):
        yield PIECE


class UploadTest(StreamingCase):
    def post(self, path, **options):
        return builders.call(
            path, builders.NON_IDEMPOTENT_PATH, method="POST", **options
        )

    def test_a_large_upload_arrives_completely(self):
        async def check(path):
            for headers in (
                {"transfer-encoding": "chunked"},
                {"content-length": str(len(PIECE) * PIECES)},
            ):
                response = await self.post(
                    path, headers=headers, content=upload()
                )
                self.assertEqual(200, response.status)
                self.assertEqual(
                    str(len(PIECE) * PIECES),
                    answers.header(response, "x-received-bytes"),
                )

        self.run_with([instance.InstanceStandin("res-0", 3, 0.0)], check)

    def test_a_small_upload_is_retried_after_a_shed(self):
        async def check(path):
            for number in range(10):
                response = await self.post(
                    path, tag=f"r{number}", content=b"small"
                )
                self.assertEqual(200, response.status)
                self.assertEqual(
                    "5", answers.header(response, "x-received-bytes")
                )

        shedding = instance.InstanceStandin("res-0", 0, 0.0)
        accepting = instance.InstanceStandin("res-1", 3, 0.0)
        self.run_with([shedding, accepting], check)
        self.assertEqual(10, len(accepting.runs))
        self.assertGreater(shedding.sheds, 0)

    def test_a_large_upload_that_is_shed_is_refused_as_body_sent(self):
        async def check(path):
            stream = await trio.open_tcp_stream(builders.IP, path.port)
            head = (
                f"POST {builders.NON_IDEMPOTENT_PATH} HTTP/1.1\r\nhost: a\r\n"
            )
            size = len(PIECE) * PIECES
            await stream.send_all(
                f"{head}content-length: {size}\r\n\r\n".encode()
            )
            for _ in range(PIECES - 1):
                await stream.send_all(PIECE)
            answer = await stream.receive_some(65_536)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
            self.assertIn(b"x-outcome: not-run", answer)
            self.assertIn(b"x-outcome-reason: body_sent", answer)

        shedding = instance.InstanceStandin("res-0", 0, 0.0)
        self.run_with([shedding], check)
        self.assertEqual([], shedding.runs)


class DownloadTest(StreamingCase):
    def test_a_large_answer_arrives_completely(self):
        async def check(path):
            response = await builders.call(
                path, f"{builders.IDEMPOTENT_PATH}?size=1000000"
            )
            self.assertEqual(b"r1 res-0" + b"." * 1_000_000, response.content)

        self.run_with([instance.InstanceStandin("res-0", 3, 0.0)], check)

    def test_a_head_request_is_answered(self):
        async def check(path):
            response = await builders.call(
                path, builders.IDEMPOTENT_PATH, method="HEAD"
            )
            self.assertEqual(200, response.status)
            self.assertEqual(b"", response.content)

        self.run_with([instance.InstanceStandin("res-0", 3, 0.0)], check)


class HedgeAfter(request_policies.RetryUntilDeadline):
    """Hedges every request after a fixed delay."""

    def hedge_delay(self, service, now, route=""):
        return 0.05


class HedgeTest(StreamingCase):
    def test_a_hedge_answers_and_cancels_a_stalled_attempt(self):
        async def check(path):
            for number in range(6):
                response = await builders.call(
                    path, builders.IDEMPOTENT_PATH, tag=f"r{number}"
                )
                self.assertEqual(200, response.status)

        stalled = instance.InstanceStandin("res-0", 3, 1e9)
        accepting = instance.InstanceStandin("res-1", 3, 0.0)
        self.run_with(
            [stalled, accepting],
            check,
            policies=request_policies.default_policies()._replace(
                retries=HedgeAfter()
            ),
        )
        self.assertEqual(6, len(accepting.runs))

    def test_a_non_idempotent_request_is_never_hedged(self):
        async def check(path):
            await builders.call(
                path, builders.NON_IDEMPOTENT_PATH, method="POST"
            )

        slow = [
            instance.InstanceStandin(f"res-{number}", 3, 0.2)
            for number in range(2)
        ]
        self.run_with(
            slow,
            check,
            policies=request_policies.default_policies()._replace(
                retries=HedgeAfter()
            ),
        )
        self.assertEqual(1, sum(len(each.runs) for each in slow))
