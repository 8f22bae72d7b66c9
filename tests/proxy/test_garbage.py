import random

import testtools
import trio

from primrosemill.standins import instance
from tests.builders import path as builders

SEED = 5
INPUTS = 200
ANSWER_TIMEOUT = 0.03  # seconds
REQUESTS = (
    b"GET /slots/x HTTP/1.1\r\nhost: a\r\nx-request-timeout: 1\r\n\r\n",
    b"POST /bookings/x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc",
    b"POST /bookings/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n"
    b"\r\n3\r\nabc\r\n0\r\n\r\n",
    b"GET /slots/x?size=9 HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
)


def mutate(generator):
    data = bytearray(generator.choice(REQUESTS))
    for _ in range(generator.randrange(1, 6)):
        position = generator.randrange(len(data))
        kind = generator.randrange(3)
        if kind == 0:
            data[position] = generator.randrange(256)
        elif kind == 1:
            del data[position : position + generator.randrange(1, 20)]
        else:
            data[position:position] = generator.randbytes(3)
        if not data:
            return b"\r\n"
    return bytes(data)


class GarbageTest(testtools.TestCase):
    def test_no_malformed_input_causes_an_internal_error(self):
        trio.run(self._check)

    async def _check(self):
        generator = random.Random(SEED)
        failures = []
        async with trio.open_nursery() as nursery:
            standin = instance.InstanceStandin("res-0", 3, 0.0)
            addresses = await builders.start_standins(nursery, [standin])
            path = await builders.start_path(
                nursery, addresses, on_failure=failures.append
            )
            for number in range(INPUTS):
                await self._send(path, mutate(generator))
                self.assertEqual([], failures, f"input {number}")
            response = await builders.call(path, builders.IDEMPOTENT_PATH)
            self.assertEqual(200, response.status)
            await path.server.drain()
            nursery.cancel_scope.cancel()

    async def _send(self, path, data):
        stream = await trio.open_tcp_stream(builders.IP, path.port)
        async with stream:
            await stream.send_all(data)
            # The server waits for the rest of an incomplete request.
            with trio.move_on_after(ANSWER_TIMEOUT):
                try:
                    await stream.receive_some(65_536)
                except trio.BrokenResourceError:
                    return
