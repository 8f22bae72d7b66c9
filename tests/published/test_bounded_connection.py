"""Tests the bounds on what a faulty server costs its client."""

import functools
import tracemalloc

import httpcore
import testtools
import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import probes
from primrosemill.published import bounded_connection
from primrosemill.standins import endless_instances
from primrosemill.standins import raw_tcp

IP = "127.0.0.1"
MAX_TIME = 10.0  # seconds
MAX_MEMORY = 4_000_000  # bytes
OVERLONG = bounded_connection.OverlongAnswerError
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


def run(check, standin):
    """Run a check with the address of a stand-in."""

    async def main():
        with trio.fail_after(MAX_TIME):
            async with trio.open_nursery() as nursery:
                served = await nursery.start(standin.serve, IP)
                await check(served)
                nursery.cancel_scope.cancel()

    trio.run(main)


class AnswerTest(testtools.TestCase):
    def check_content(self, answer, expected):
        async def check(served):
            async with bounded_connection.BoundedPool() as pool:
                response = await pool.request(
                    "GET", f"http://{served.address}/"
                )
            self.assertEqual(expected, response.content)

        run(check, raw_tcp.RawStandin(answer))

    def check_refused(self, answer, error):
        async def check(served):
            async with bounded_connection.BoundedPool() as pool:
                with testtools.ExpectedException(error):
                    await pool.request("GET", f"http://{served.address}/")

        run(check, raw_tcp.RawStandin(answer))

    def test_a_few_interim_answers_are_skipped(self):
        self.check_content(INTERIM * 8 + WHOLE, b"ok")

    def test_many_interim_answers_are_refused(self):
        self.check_refused(INTERIM * 9 + WHOLE, OVERLONG)

    def test_chunks_are_joined_without_loss(self):
        body = bytes(range(256)) * 40
        chunks = b"".join(b"1\r\n%b\r\n" % bytes([each]) for each in body)
        self.check_content(CHUNKED + chunks + b"0\r\n\r\n", body)

    def test_a_fault_behind_small_chunks_is_seen(self):
        self.check_refused(
            CHUNKED + b"1\r\nx\r\n" * 10 + b"no size\r\n",
            httpcore.RemoteProtocolError,
        )

    def test_a_head_of_many_lines_is_refused(self):
        head = WHOLE.replace(
            b"\r\n\r\n", b"\r\n" + b"a:\r\n" * 2_500 + b"\r\n"
        )
        self.check_refused(head, OVERLONG)

    def test_lines_of_a_body_with_a_length_do_not_count(self):
        lines = b"\n" * 200_000
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(lines)
        self.check_content(head + lines, lines)


class ReuseTest(testtools.TestCase):
    def test_an_answer_in_chunks_leaves_its_connection_usable(self):
        answer = CHUNKED + b"1\r\nx\r\n1\r\ny\r\n0\r\n\r\n"

        async def check(served):
            async with bounded_connection.BoundedPool() as pool:
                for _ in range(3):
                    response = await pool.request(
                        "GET", f"http://{served.address}/"
                    )
                    self.assertEqual(b"xy", response.content)

        standin = raw_tcp.KeptStandin(answer)
        run(check, standin)
        self.assertEqual(1, standin.connections)


class ProbeTest(testtools.TestCase):
    """Guards against probes that keep an endless health answer."""

    def check(self, shape):
        async def check(served):
            instance = documents.Instance("i-0", served.ip, served.port, "d")
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            async with trio.open_nursery() as nursery:
                for _ in range(12):
                    nursery.start_soon(self.probe, instance)
            self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY)

        run(check, endless_instances.EndlessInstance(shape))

    async def probe(self, instance):
        result = await probes.probe(instance, "/health")
        self.assertEqual(probes.Result(False, False), result)


for each in endless_instances.Shape:
    if each is endless_instances.Shape.AFTER_AN_ANSWER:
        # This one is healthy; what follows is not read.
        continue
    setattr(
        ProbeTest,
        f"test_{each}",
        functools.partialmethod(ProbeTest.check, each),
    )
