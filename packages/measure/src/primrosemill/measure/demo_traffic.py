"""Sends the demo's requests and records their results."""

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

REQUEST_RATE = 60.0  # requests a second sent to the fleet
DIRECT_REQUEST_RATE = 10.0  # requests a second sent directly to the instances
BOOKING_SHARE = 0.2  # share of requests that must not run twice
REQUEST_TIMEOUT = 10.0  # seconds; longer than any deadline of the fleet
TIMEOUTS = dict.fromkeys(("connect", "read", "write", "pool"), REQUEST_TIMEOUT)
OUTCOME_HEADER = b"x-outcome"
CALLER_IDS = tuple(f"desk-{number}" for number in range(9))
AddressesByCaller = dict[str, list[str]]


class RequestResult(typing.NamedTuple):
    """The result of one request.

    ``started`` is a time of trio's clock, ``elapsed`` is in seconds.
    """

    call: history.Call
    started: float
    elapsed: float


class AddressBook:
    """The VM addresses that each caller uses, refreshed before they expire.

    A caller asks the first VM of its list, or the next ones if that fails.
    """

    def __init__(self, vm_addresses: typing.Sequence[str]) -> None:
        self.addresses_by_caller: AddressesByCaller = {}
        for number, caller in enumerate(CALLER_IDS):
            offset = number % len(vm_addresses)
            self.addresses_by_caller[caller] = [
                *vm_addresses[offset:],
                *vm_addresses[:offset],
            ]

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Refresh until cancelled; reports once every caller has addresses."""
        async with httpcore.AsyncConnectionPool() as pool:
            await self._refresh(pool)
            task_status.started()
            while True:
                await trio.sleep(demo_fleet.ANSWER_LIFETIME / 2)
                await self._refresh(pool)

    async def _refresh(self, pool: httpcore.AsyncConnectionPool) -> None:
        for number, caller in enumerate(CALLER_IDS):
            domain = demo_fleet.DOMAINS[number % len(demo_fleet.DOMAINS)]
            question = address_endpoint.AddressQuery(
                demo_fleet.SERVICE, caller, domain
            )
            for address in self.addresses_by_caller[caller]:
                addresses = await _resolve(pool, address, question)
                if addresses:
                    self.addresses_by_caller[caller] = addresses
                    break


async def _resolve(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    question: address_endpoint.AddressQuery,
) -> list[str]:
    query = urllib.parse.urlencode(question._asdict())
    try:
        response = await pool.request(
            "GET",
            f"http://{address}{address_endpoint.PATH}?{query}",
            extensions={"timeout": TIMEOUTS},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return []
    addresses = msgspec.json.decode(
        response.content, type=address_endpoint.AddressAnswer
    )
    return addresses["addresses"]


class TrafficGenerator:
    """Sends requests at random times without waiting for responses."""

    def __init__(
        self, addresses_by_caller: AddressesByCaller, rate: float, seed: str
    ) -> None:
        self.results: list[RequestResult] = []
        self._addresses_by_caller = addresses_by_caller
        self._caller_cycle = itertools.cycle(addresses_by_caller)
        self._rate = rate
        self._seed = seed
        self._generator = random.Random(seed)
        self._send_scope = trio.CancelScope()

    async def run(self) -> None:
        """Send until stopped; returns when all requests have ended."""
        async with (
            httpcore.AsyncConnectionPool(max_connections=None) as pool,
            trio.open_nursery() as nursery,
        ):
            with self._send_scope:
                for number in itertools.count():
                    nursery.start_soon(self._send, pool, number)
                    delay = self._generator.expovariate(self._rate)
                    await trio.sleep(delay)

    def stop(self) -> None:
        """Stop sending; requests in progress continue."""
        self._send_scope.cancel()

    async def _send(
        self, pool: httpcore.AsyncConnectionPool, number: int
    ) -> None:
        tag = f"{self._seed}-{number}"
        idempotent = self._generator.random() >= BOOKING_SHARE
        expected = f"{tag} {demo_fleet.SERVICE}-".encode()
        # The instance's number, one digit, follows the expected prefix.
        call = history.Call(tag, idempotent, expected, len(expected) + 1)
        caller = next(self._caller_cycle)
        address = self._addresses_by_caller[caller][0]
        started = trio.current_time()
        try:
            response = await pool.request(
                "GET" if idempotent else "POST",
                f"http://{address}"
                + ("/slots" if idempotent else "/bookings"),
                headers={"x-request-id": tag, "x-caller-id": caller},
                extensions={"timeout": TIMEOUTS},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            call = call._replace(incomplete=True)
        else:
            call = _with_response(call, response)
        elapsed = trio.current_time() - started
        self.results.append(RequestResult(call, started, elapsed))


def _with_response(
    call: history.Call, response: httpcore.Response
) -> history.Call:
    outcome = dict(response.headers).get(OUTCOME_HEADER, b"").decode()
    return call._replace(
        outcome=outcome, status=response.status, body=response.content
    )
