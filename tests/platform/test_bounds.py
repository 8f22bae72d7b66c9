"""Tests the configured limits on the size and time of callers' requests."""

import testtools
import trio

from primrosemill.configuration import checks
from tests.builders import answers
from tests.builders import users_platform as builders

LIMITS = {
    "max_header_bytes": 1_000,
    "max_body_bytes": 5_000,
    "header_timeout_ms": 300,
    "idle_timeout_ms": 15_000,
}
HEAD_START = b"GET /slots/today HTTP/1.1\r\nhost: bookings.example\r\n"
ANSWER_TIME = 5.0  # seconds that a caller waits for an error answer


def chunks(size, count):
    async def generate():
        for _ in range(count):
            yield b"x" * size

    return generate()


async def connect(built):
    ip, port = checks.split_address(built.settings.caller_address)
    return await trio.open_tcp_stream(ip, port)


async def read_all(stream):
    received = b""
    with trio.fail_after(ANSWER_TIME):
        async for data in stream:
            received += data
    return received


class BoundsTest(testtools.TestCase):
    def check(self, check):
        document = builders.configuration(limits=LIMITS)
        builders.run(check, document=document)

    def test_complete_head_over_the_limit_gets_431(self):
        async def check(built):
            stream = await connect(built)
            await stream.send_all(
                HEAD_START + b"x-more: " + b"x" * 1_000 + b"\r\n\r\n"
            )
            with trio.fail_after(ANSWER_TIME):
                received = await stream.receive_some()
            self.assertTrue(received.startswith(b"HTTP/1.1 431 "), received)
            self.assertEqual([], builders.runs(built))

        self.check(check)

    def test_incomplete_head_over_the_limit_gets_431(self):
        async def check(built):
            stream = await connect(built)
            await stream.send_all(HEAD_START + b"x-more: " + b"x" * 1_000)
            received = await read_all(stream)
            self.assertTrue(received.startswith(b"HTTP/1.1 431 "), received)

        self.check(check)

    def test_incomplete_head_gets_408_after_its_timeout(self):
        async def check(built):
            stream = await connect(built)
            started = trio.current_time()
            await stream.send_all(HEAD_START)
            received = await read_all(stream)
            self.assertTrue(received.startswith(b"HTTP/1.1 408 "), received)
            self.assertGreater(trio.current_time() - started, 0.3)

        self.check(check)

    def test_head_in_pieces_within_its_timeout_is_accepted(self):
        async def check(built):
            stream = await connect(built)
            await stream.send_all(HEAD_START)
            await trio.sleep(0.1)
            await stream.send_all(b"\r\n")
            with trio.fail_after(ANSWER_TIME):
                received = await stream.receive_some()
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

        self.check(check)

    def test_request_with_too_large_content_length_is_not_run(self):
        async def check(built):
            response = await builders.call(
                built, builders.UPLOAD_PATH, method="POST", content=b"x" * 5001
            )
            self.assertEqual(413, response.status)
            reason = answers.header(response, "x-outcome-reason")
            self.assertEqual("body_too_large", reason)
            self.assertEqual([], builders.runs(built))

        self.check(check)

    def test_request_with_too_large_chunked_body_is_not_run(self):
        async def check(built):
            response = await builders.call(
                built,
                builders.UPLOAD_PATH,
                method="POST",
                content=chunks(1_000, 6),
            )
            self.assertEqual(413, response.status)
            self.assertEqual([], builders.runs(built))

        self.check(check)

    def test_request_with_chunked_body_within_the_limit_is_run(self):
        async def check(built):
            response = await builders.call(
                built,
                builders.UPLOAD_PATH,
                method="POST",
                content=chunks(1_000, 5),
            )
            self.assertEqual(200, response.status)
            self.assertEqual(1, len(builders.runs(built)))

        self.check(check)
