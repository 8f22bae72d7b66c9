"""Sends the demo's requests and keeps what each of them met."""

import itertools
import random
import typing

import httpcore
import trio

from primrosemill.measure import demo_fleet
from primrosemill.proofs import history

RATE = 60.0  # requests a second through the fleet
DIRECT_RATE = 10.0  # requests a second straight to the instances
BOOKING_SHARE = 0.2  # of requests, which must not run twice
PATIENCE = 10.0  # seconds; longer than any deadline of the fleet
LIMITS = dict.fromkeys(("connect", "read", "write", "pool"), PATIENCE)
OUTCOME = b"x-outcome"


class Met(typing.NamedTuple):
    """What one request met; times in seconds, started on trio's clock."""

    call: history.Call
    started: float
    elapsed: float


class Callers:
    """Sends requests at random times, whether answers come or not."""

    def __init__(
        self, addresses: typing.Sequence[str], rate: float, seed: str
    ) -> None:
        self.met: list[Met] = []
        self._addresses = itertools.cycle(addresses)
        self._rate = rate
        self._seed = seed
        self._generator = random.Random(seed)
        self._sending = trio.CancelScope()

    async def run(self) -> None:
        """Send until stopped; returns when every request has met its end."""
        async with (
            httpcore.AsyncConnectionPool(max_connections=None) as pool,
            trio.open_nursery() as nursery,
        ):
            with self._sending:
                for number in itertools.count():
                    nursery.start_soon(self._send, pool, number)
                    pause = self._generator.expovariate(self._rate)
                    await trio.sleep(pause)

    def stop(self) -> None:
        """Send nothing more."""
        self._sending.cancel()

    async def _send(
        self, pool: httpcore.AsyncConnectionPool, number: int
    ) -> None:
        tag = f"{self._seed}-{number}"
        idempotent = self._generator.random() >= BOOKING_SHARE
        expected = f"{tag} {demo_fleet.SERVICE}-".encode()
        # The instance's number, one digit, follows what is expected.
        call = history.Call(tag, idempotent, expected, len(expected) + 1)
        started = trio.current_time()
        try:
            response = await pool.request(
                "GET" if idempotent else "POST",
                f"http://{next(self._addresses)}"
                + ("/slots" if idempotent else "/bookings"),
                headers={"x-request-id": tag, "x-caller-id": self._seed},
                extensions={"timeout": LIMITS},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            call = call._replace(broken=True)
        else:
            call = _told(call, response)
        elapsed = trio.current_time() - started
        self.met.append(Met(call, started, elapsed))


def _told(call: history.Call, response: httpcore.Response) -> history.Call:
    outcome = dict(response.headers).get(OUTCOME, b"").decode()
    return call._replace(
        outcome=outcome, status=response.status, body=response.content
    )
