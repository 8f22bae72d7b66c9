"""Tests instances that send bytes endlessly until their connection closes."""

import tracemalloc

import httpcore
import testtools
import trio

from primrosemill.proxy import instance_stream
from primrosemill.standins import raw_tcp
from tests.builders import users_platform as builders

OK = b"HTTP/1.1 200 OK\r\nprimrosemill-request-id: r1\r\n"
TIME_LEFT = 600  # milliseconds that a caller waits
ANSWER_TIME = 15.0  # seconds; a body is cut off by its size or time limit
MAX_READINESS_TIME = 1.0  # seconds, on a busy machine
MAX_MEMORY = 8_000_000  # bytes for one such answer
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
# The bytes that are sent once, and those that are repeated.
SHAPES = {
    "a head": (OK, b"x-more: " + b"x" * 1_000 + b"\r\n"),
    "a header line": (OK + b"x-more: ", b"x" * 1_000),
    "no answer": (b"", b"\x00 no answer at all " * 50),
    "line ends": (b"", b"\r\n" * 500),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 20),
    "a body without length": (OK + b"\r\n", b"x" * 1_000),
    "a body with a huge length": (
        OK + b"content-length: 99999999999999\r\n\r\n",
        b"x" * 1_000,
    ),
    "chunks": (CHUNKED, b"5\r\nhello\r\n" * 100),
    "a chunk extension": (CHUNKED + b"5;", b"x" * 1_000),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 5_000 + b"\r\nh\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"x-more: " + b"x" * 500 + b"\r\n"),
}


class EndlessTest(testtools.TestCase):
    def check(self, shape):
        async def check(built):
            endless = raw_tcp.EndlessStandin(*SHAPES[shape])
            async with trio.open_nursery() as nursery:
                served = await nursery.start(endless.serve, builders.IP)
                built.store.put_json(
                    "servers/i-9", builders.entry(served.address)
                )
                await trio.sleep(0.5)
                await self.call(built, endless)
                nursery.cancel_scope.cancel()

        builders.run(check, count=0)

    async def call(self, built, endless):
        """Check that the request ends in time and others are still served."""
        served = False
        slowest = 0.0

        async def poll_readiness():
            nonlocal slowest
            while True:
                started = trio.current_time()
                await builders.get(
                    built.settings.ready_address, "/-/readiness"
                )
                slowest = max(slowest, trio.current_time() - started)
                await trio.sleep(0.02)

        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poll_readiness)
            with trio.fail_after(ANSWER_TIME):
                try:
                    response = await builders.call(
                        built,
                        builders.ONCE_PATH,
                        "r1",
                        "POST",
                        time_left=TIME_LEFT,
                    )
                    served = response.status == 200
                    self.assertIn(response.status, (502, 504))
                except (httpcore.ProtocolError, httpcore.NetworkError):
                    # The answer had begun and was aborted.
                    pass
                await endless.closed.wait()
            nursery.cancel_scope.cancel()
        self.assertFalse(served)
        self.assertTrue(endless.closed.is_set())
        self.assertLess(slowest, MAX_READINESS_TIME)
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY)


def _add_test(shape):
    def test(self):
        self.check(shape)

    name = "test_" + shape.replace(" ", "_") + "_without_end"
    test.__name__ = name
    setattr(EndlessTest, name, test)


for each in SHAPES:
    _add_test(each)


class HeadSizeLimitTest(testtools.TestCase):
    def test_limit_allows_heads_of_64_kib(self):
        self.assertGreaterEqual(instance_stream.MAX_HEAD_SIZE, 65_536)
