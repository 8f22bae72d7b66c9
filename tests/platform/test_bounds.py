"""Tests that what callers may send is bounded as the operator configures."""

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
ANSWER_TIME = 5.0  # seconds that a caller waits for the answer to a fault


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

    def test_a_whole_head_that_is_too_large_is_refused(self):
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

    def test_a_head_without_end_is_refused_once_it_is_too_large(self):
        async def check(built):
            stream = await connect(built)
            await stream.send_all(HEAD_START + b"x-more: " + b"x" * 1_000)
            received = await read_all(stream)
            self.assertTrue(received.startswith(b"HTTP/1.1 431 "), received)

        self.check(check)

    def test_a_head_that_takes_too_long_is_refused(self):
        async def check(built):
            stream = await connect(built)
            started = trio.current_time()
            await stream.send_all(HEAD_START)
            received = await read_all(stream)
            self.assertTrue(received.startswith(b"HTTP/1.1 408 "), received)
            self.assertGreater(trio.current_time() - started, 0.3)

        self.check(check)

    def test_a_head_in_pieces_within_its_time_is_taken(self):
        async def check(built):
            stream = await connect(built)
            await stream.send_all(HEAD_START)
            await trio.sleep(0.1)
            await stream.send_all(b"\r\n")
            with trio.fail_after(ANSWER_TIME):
                received = await stream.receive_some()
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

        self.check(check)

    def test_a_sized_body_that_is_too_large_is_not_run(self):
        async def check(built):
            response = await builders.call(
                built, builders.UPLOAD_PATH, method="POST", content=b"x" * 5001
            )
            self.assertEqual(413, response.status)
            reason = answers.header(response, "x-outcome-reason")
            self.assertEqual("body_too_large", reason)
            self.assertEqual([], builders.runs(built))

        self.check(check)

    def test_a_chunked_body_is_cut_off_where_it_becomes_too_large(self):
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

    def test_a_chunked_body_within_the_bound_is_run(self):
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
