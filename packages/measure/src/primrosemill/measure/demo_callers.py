"""Sends the demo's requests and keeps what each of them met."""

import itertools
import random
import typing
import urllib.parse

import httpcore
import msgspec
import trio

from primrosemill.measure import demo_fleet
from primrosemill.proofs import history
from primrosemill.proxy import addresses

RATE = 60.0  # requests a second through the fleet
DIRECT_RATE = 10.0  # requests a second straight to the instances
BOOKING_SHARE = 0.2  # of requests, which must not run twice
PATIENCE = 10.0  # seconds; longer than any deadline of the fleet
LIMITS = dict.fromkeys(("connect", "read", "write", "pool"), PATIENCE)
OUTCOME = b"x-outcome"
CALLERS = tuple(f"desk-{number}" for number in range(9))
AddressesByCaller = dict[str, list[str]]


class Met(typing.NamedTuple):
    """What one request met; times in seconds, started on trio's clock."""

    call: history.Call
    started: float
    elapsed: float


async def ask_addresses(fleet: demo_fleet.Fleet) -> AddressesByCaller:
    """Ask VMs which addresses each caller should use."""
    told_by_caller: AddressesByCaller = {}
    async with httpcore.AsyncConnectionPool() as pool:
        for number, caller in enumerate(CALLERS):
            known = fleet.caller_addresses[number % demo_fleet.VMS]
            domain = demo_fleet.DOMAINS[number % len(demo_fleet.DOMAINS)]
            question = addresses.Question(demo_fleet.SERVICE, caller, domain)
            query = urllib.parse.urlencode(question._asdict())
            answer = await pool.request(
                "GET", f"http://{known}{addresses.PATH}?{query}"
            )
            told = msgspec.json.decode(
                answer.content, type=addresses.AddressAnswer
            )
            told_by_caller[caller] = told["addresses"]
    return told_by_caller


class Callers:
    """Sends requests at random times, whether answers come or not."""

    def __init__(
        self, addresses_by_caller: AddressesByCaller, rate: float, seed: str
    ) -> None:
        self.met: list[Met] = []
        self._callers = itertools.cycle(addresses_by_caller.items())
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
        caller, told = next(self._callers)
        started = trio.current_time()
        try:
            response = await pool.request(
                "GET" if idempotent else "POST",
                f"http://{told[0]}"
                + ("/slots" if idempotent else "/bookings"),
                headers={"x-request-id": tag, "x-caller-id": caller},
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
