import socket

import testtools
import trio
import trio.testing

from primrosemill.published import bounded_client

IP = "127.0.0.1"
SIZE_LIMIT = 1_000_000  # bytes
TIMEOUT = 1.0  # seconds
RECEIVE_SIZE = 65_536  # bytes
CONTENT = b"z" * 200_000
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n" + CONTENT


class PausedClientTest(testtools.TestCase):
    """Guards against a store that counts as slow while this VM stands still.

    Its answer has arrived, but takes several reads.
    """

    def test_an_answer_that_arrived_during_a_pause_is_read(self):
        clock = trio.testing.MockClock()
        results = []

        async def main():
            with socket.create_server((IP, 0)) as listener:
                address = "{}:{}".format(*listener.getsockname())
                client = bounded_client.Client(address, SIZE_LIMIT)

                async def get():
                    results.append(await client.get("/items", TIMEOUT))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(get)
                    await trio.lowlevel.wait_readable(listener)
                    served, _ = listener.accept()
                    await trio.lowlevel.wait_readable(served)
                    served.recv(RECEIVE_SIZE)
                    served.sendall(ANSWER)
                    clock.jump(5.0)
                served.close()
                await client.aclose()

        trio.run(main, clock=clock)
        self.assertEqual(CONTENT, results[0].ok.content)
