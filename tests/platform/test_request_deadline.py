"""The end of a request that another VM serves."""

import httpcore
import testtools
import trio

from primrosemill.standins import raw_tcp
from tests.builders import cuts
from tests.builders import users_platform as builders

TIME_LIMIT = 2.0  # seconds, of the route
LONG_TIME = 9_000  # milliseconds that callers wait themselves
SLACK = 0.4  # seconds; less than the users allow
# The start of a chunk that never comes whole.
START = (
    b"HTTP/1.1 200 OK\r\nprimrosemill-request-id: r1\r\n"
    b"primrosemill-server-signature: by.i-1\r\nx-outcome: answered\r\n"
    b"transfer-encoding: chunked\r\n\r\n50000\r\n" + b"x" * 0x20000
)


class HelperTest(testtools.TestCase):
    def test_row_helper(self):
        """Guards against a helper whose answer outlasts the time limit."""

        async def check(fleet, all_cuts):
            first = fleet.vms[0]
            await builders.call(first, builders.READ_PATH)
            all_cuts[0].start()
            helper = raw_tcp.RawStandin(START, lingers=True)
            async with trio.open_nursery() as nursery:
                await cuts.serve_helper(nursery, first, helper)
                started = trio.current_time()
                self.assertTrue(await self.is_broken_off(first))
                elapsed = trio.current_time() - started
                self.assertLess(abs(elapsed - TIME_LIMIT), SLACK)
                self.assertEqual(0, first.vm._isolation.forwarding.in_flight)
                nursery.cancel_scope.cancel()

        cuts.run(check, (cuts.FIRST_DOMAIN,), cuts.How.RESET, 1)

    async def is_broken_off(self, built):
        """Return whether the answer to a call is reset after its start."""
        try:
            await builders.call(
                built, builders.READ_PATH, "r1", time_left=LONG_TIME
            )
        except (httpcore.ProtocolError, httpcore.NetworkError):
            return True
        return False
