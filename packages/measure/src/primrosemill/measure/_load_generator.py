"""An open-loop load generator: requests don't wait for earlier answers.

The client is minimal, so that its own cost, which is the same for every
target, is small compared with the measured one.
"""

import random
import typing

from hdrh import histogram
import trio

WARM_UP = 2.0  # seconds in which requests are not counted
MAX_LATENCY = 60_000_000  # microseconds
MICROSECONDS_PER_SECOND = 1_000_000
HEAD_END = b"\r\n\r\n"
LENGTH_PREFIX = b"content-length:"


class LoadArguments(typing.TypedDict):
    """Targets by name, requests a second to each, and for how long.

    ``seconds`` includes the warm-up.
    """

    addresses_by_target: dict[str, list[str]]
    rate: float
    seconds: float
    seed: int


class TargetResult(typing.TypedDict):
    """Counts and latencies of one target; latencies in milliseconds."""

    requests: int
    failures: int
    p50: float
    p90: float
    p99: float


class Client:
    """Sends requests to one address and reuses idle connections."""

    def __init__(self, address: str) -> None:
        self._ip, _, port = address.partition(":")
        self._port = int(port)
        self._idle: list[trio.SocketStream] = []

    async def call(self, tag: str) -> bool:
        """Send one request; return whether it succeeded.

        The answer must have status 200 and contain the tag of the request.
        """
        stream = await self._acquire_stream()
        await stream.send_all(
            b"GET /measured HTTP/1.1\r\nhost: measured\r\nx-request-id: "
            + tag.encode()
            + HEAD_END
        )
        answer = await _read_answer(stream)
        self._idle.append(stream)
        return answer.startswith(b"HTTP/1.1 200") and tag.encode() in answer

    async def _acquire_stream(self) -> trio.SocketStream:
        if self._idle:
            return self._idle.pop()
        return await trio.open_tcp_stream(self._ip, self._port)


async def _read_answer(stream: trio.SocketStream) -> bytes:
    received = b""
    while HEAD_END not in received:
        received += await _read(stream)
    head, _, body = received.partition(HEAD_END)
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(LENGTH_PREFIX):
            length = int(line.removeprefix(LENGTH_PREFIX))
    while len(body) < length:
        body += await _read(stream)
    return head + HEAD_END + body


async def _read(stream: trio.SocketStream) -> bytes:
    data = await stream.receive_some(65_536)
    if not data:
        raise trio.BrokenResourceError
    return data


class Target:
    """Measures one target with Poisson arrivals that a seed determines."""

    def __init__(
        self, addresses: list[str], rate: float, generator: random.Random
    ) -> None:
        self._clients = [Client(address) for address in addresses]
        self._rate = rate
        self._generator = generator
        self._latencies = histogram.HdrHistogram(1, MAX_LATENCY, 3)
        self._requests = 0
        self._failures = 0

    async def run(self, name: str, seconds: float) -> None:
        """Send a request at each arrival time and wait for all answers."""
        start = trio.current_time()
        arrival = start
        count = 0
        async with trio.open_nursery() as nursery:
            while arrival < start + seconds:
                arrival += self._generator.expovariate(self._rate)
                await trio.sleep_until(arrival)
                client = self._clients[count % len(self._clients)]
                count += 1
                counted = arrival > start + WARM_UP
                nursery.start_soon(
                    self._call, client, f"{name}-{count}.", arrival, counted
                )

    async def _call(
        self, client: Client, tag: str, arrival: float, counted: bool
    ) -> None:
        try:
            succeeded = await client.call(tag)
        except (OSError, trio.BrokenResourceError):
            succeeded = False
        if not counted:
            return
        self._requests += 1
        self._failures += not succeeded
        elapsed = trio.current_time() - arrival
        self._latencies.record_value(
            max(1, int(elapsed * MICROSECONDS_PER_SECOND))
        )

    def result(self) -> TargetResult:
        """Return the counts and percentiles so far."""
        return TargetResult(
            requests=self._requests,
            failures=self._failures,
            p50=self._percentile(50),
            p90=self._percentile(90),
            p99=self._percentile(99),
        )

    def _percentile(self, percentile: float) -> float:
        return self._latencies.get_value_at_percentile(percentile) / 1000


async def run(arguments: LoadArguments) -> dict[str, TargetResult]:
    """Measure all targets at the same time."""
    targets_by_name = {}
    for number, name in enumerate(arguments["addresses_by_target"]):
        generator = random.Random(arguments["seed"] + number)
        targets_by_name[name] = Target(
            arguments["addresses_by_target"][name],
            arguments["rate"],
            generator,
        )
    async with trio.open_nursery() as nursery:
        for name, target in targets_by_name.items():
            nursery.start_soon(target.run, name, arguments["seconds"])
    return {name: each.result() for name, each in targets_by_name.items()}
