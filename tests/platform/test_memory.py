"""Tests requests that are refused or cut off to free memory or slots."""

import socket

import testtools
import trio

from primrosemill.configuration import checks
from primrosemill.standins import misbehaving_clients
from tests.builders import users_platform as builders

ANSWER_TIME = 8.0  # seconds that a caller waits
BODY_SIZE = 400_000  # bytes, below what is kept for retries
LARGE_SIZE = 700_000  # bytes, above it
ANSWER_SIZE = 3_000_000  # bytes, above all buffers of a connection
SMALL_BUFFER = 4_096  # bytes


async def connect(built):
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    await sock.connect(checks.split_address(built.settings.caller_address))
    return trio.SocketStream(sock)


async def send_short(built, size, sent):
    """Send a body that stops short; return the start of the answer."""
    stream = await connect(built)
    async with stream:
        try:
            await stream.send_all(
                misbehaving_clients.length_head(builders.UPLOAD_PATH, size)
            )
            await stream.send_all(b"x" * sent)
            return await stream.receive_some()
        except trio.BrokenResourceError:
            return b""


class RefusalTest(testtools.TestCase):
    def test_uploads_over_the_account_are_refused_and_not_run(self):
        """Guards against bodies that together exceed the memory."""

        async def check(built):
            answers = []

            async def upload():
                answers.append(
                    await send_short(built, BODY_SIZE, BODY_SIZE - 1)
                )

            async with trio.open_nursery() as nursery:
                for _ in range(30):
                    nursery.start_soon(upload)
            refused = [each for each in answers if b"memory" in each]
            self.assertGreater(len(refused), 5, answers)
            for each in refused:
                self.assertTrue(each.startswith(b"HTTP/1.1 503 "), each)
                self.assertIn(b"x-outcome: not-run", each)
            self.assertEqual([], builders.runs(built))

        # A memory below the process's own size leaves the least account.
        builders.run(check, memory=1.0)

    def test_few_large_uploads_hold_slots(self):
        """Guards against slots that are held by uploads that never end."""

        async def check(built):
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(send_short, built, LARGE_SIZE, 0)
                await trio.sleep(0.3)
                refused = await send_short(built, LARGE_SIZE, 0)
                self.assertIn(b"x-outcome-reason: memory", refused)
                response = await builders.call(
                    built, builders.UPLOAD_PATH, "r2", "POST", content=b"x"
                )
                self.assertEqual(200, response.status)
                nursery.cancel_scope.cancel()

        builders.run(check, count=1)

    def test_an_upload_that_stops_short_holds_no_slot(self):
        """Guards against all slots being held by bodies that never end."""

        async def check(built):
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(send_short, built, BODY_SIZE, 1_000)
                await trio.sleep(0.3)
                response = await builders.call(
                    built, builders.UPLOAD_PATH, "r2", "POST", content=b"x"
                )
                self.assertEqual(200, response.status)
                nursery.cancel_scope.cancel()

        builders.run(check, count=1)


class UnreadAnswerTest(testtools.TestCase):
    def test_an_instance_is_free_when_its_answer_is_not_read(self):
        """Guards against an instance that waits until it gives up."""

        async def check(built):
            built.instances[0].body = b"x" * ANSWER_SIZE
            stream = await connect(built)
            head = misbehaving_clients.head("GET", builders.READ_PATH)
            # The time limit of the route counts from the arrival.
            started = trio.current_time()
            await stream.send_all(head + b"\r\n")
            application = built.vm._application
            with trio.fail_after(ANSWER_TIME):
                while not built.instances[0].runs:
                    await trio.sleep(0.01)
                while application.in_flight:
                    await trio.sleep(0.05)
            self.assertGreater(trio.current_time() - started, 2.0)

        builders.run(check, count=1)
