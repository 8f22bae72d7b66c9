"""Connections that wait for a turn to be parsed, and whose caller is gone."""

import testtools
import trio

from primrosemill.configuration import checks
from tests.builders import pipelines
from tests.builders import users_platform as builders

from primrosemill.proxy.memory import account

COUNT = 120
CHUNKS = b"1\r\nx\r\n" * 10_000
TIME_LEFT = 300  # milliseconds
MIN_HELD = 4_096  # bytes of each connection
# The request is answered at its deadline, its body dropped for a second, and
# the connection closed a second later. A few bodies are read for longer.
END_TIME = 6.0  # seconds, on a busy machine


class WaitingConnectionsTest(testtools.TestCase):
    def head(self, number):
        return pipelines.request(
            f"r{number}",
            builders.UPLOAD_PATH,
            "POST",
            ("transfer-encoding: chunked",),
            time_left=TIME_LEFT,
        )

    async def send(self, built, number):
        ip, port = checks.split_address(built.settings.caller_address)
        async with await trio.open_tcp_stream(ip, port) as stream:
            await stream.send_all(self.head(number) + CHUNKS)
            await trio.sleep(0.5)

    async def wait_until_closed(self, built):
        server = built.vm._caller_server
        with trio.move_on_after(END_TIME):
            while server.connections > account.DISCARDS:
                await trio.sleep(0.05)
        self.assertLessEqual(server.connections, account.DISCARDS)

    def test_connections_that_are_answered_do_not_wait_for_a_turn(self):
        # Guards against connections that stay in line with their buffers,
        # while their clients open others, until the process ends.
        async def check(built):
            async with trio.open_nursery() as nursery:
                for number in range(COUNT):
                    nursery.start_soon(self.send, built, number)
            await self.wait_until_closed(built)

        builders.run(check)

    def test_bytes_that_wait_for_a_turn_are_counted(self):
        async def check(built):
            held_by_kind = built.vm._account.held_by_kind
            async with trio.open_nursery() as nursery:
                for number in range(COUNT):
                    nursery.start_soon(self.send, built, number)
                await trio.sleep(0.4)
                self.assertGreater(
                    held_by_kind[account.Kind.PARSING], COUNT * MIN_HELD
                )
            await self.wait_until_closed(built)
            self.assertLessEqual(
                held_by_kind[account.Kind.PARSING],
                account.DISCARDS * len(CHUNKS),
            )

        builders.run(check)
