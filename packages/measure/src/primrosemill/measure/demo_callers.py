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
from primrosemill.proxy import address_endpoint

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


class AddressBook:
    """Keeps the addresses that each caller was told, and asks again in time.

    A caller asks the VM that it uses, or the next one it was told of.
    """

    def __init__(self, known: typing.Sequence[str]) -> None:
        self.told_by_caller: AddressesByCaller = {}
        for number, caller in enumerate(CALLERS):
            shift = number % len(known)
            self.told_by_caller[caller] = [*known[shift:], *known[:shift]]

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Ask until cancelled; reports once every caller has an answer."""
        async with httpcore.AsyncConnectionPool() as pool:
            await self._refresh(pool)
            task_status.started()
            while True:
                await trio.sleep(demo_fleet.ANSWER_LIFETIME / 2)
                await self._refresh(pool)

    async def _refresh(self, pool: httpcore.AsyncConnectionPool) -> None:
        for number, caller in enumerate(CALLERS):
            domain = demo_fleet.DOMAINS[number % len(demo_fleet.DOMAINS)]
            question = address_endpoint.Question(
                demo_fleet.SERVICE, caller, domain
            )
            for address in self.told_by_caller[caller]:
                told = await _ask(pool, address, question)
                if told:
                    self.told_by_caller[caller] = told
                    break


async def _ask(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    question: address_endpoint.Question,
) -> list[str]:
    query = urllib.parse.urlencode(question._asdict())
    try:
        answer = await pool.request(
            "GET",
            f"http://{address}{address_endpoint.PATH}?{query}",
            extensions={"timeout": LIMITS},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return []
    told = msgspec.json.decode(
        answer.content, type=address_endpoint.AddressAnswer
    )
    return told["addresses"]


class Callers:
    """Sends requests at random times, whether answers come or not."""

    def __init__(
        self, addresses_by_caller: AddressesByCaller, rate: float, seed: str
    ) -> None:
        self.met: list[Met] = []
        self._addresses_by_caller = addresses_by_caller
        self._callers = itertools.cycle(addresses_by_caller)
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
        caller = next(self._callers)
        address = self._addresses_by_caller[caller][0]
        started = trio.current_time()
        try:
            response = await pool.request(
                "GET" if idempotent else "POST",
                f"http://{address}"
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
