"""Compares the cost of a datagram with that of a pynng message.

Both ends run in one process.
"""

import time
import typing

import click
import pynng
import trio

MESSAGE = b"x" * 300
MESSAGE_INTERVAL = 0.001  # seconds
MICROSECONDS_PER_SECOND = 1_000_000
Exchange = typing.Callable[[], typing.Awaitable[typing.Any]]


async def _measure_cost(exchange: Exchange, rounds: int) -> float:
    """Return the processor time of an exchange and an interval, in us."""
    started = time.process_time()
    for _ in range(rounds):
        await exchange()
        await trio.sleep(MESSAGE_INTERVAL)
    return (time.process_time() - started) / rounds * MICROSECONDS_PER_SECOND


async def _measure_datagram_cost(rounds: int) -> float:
    receiver = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    sender = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    with receiver, sender:
        await receiver.bind(("127.0.0.1", 0))
        address = receiver.getsockname()

        async def exchange() -> None:
            await sender.sendto(MESSAGE, address)
            await receiver.recvfrom(len(MESSAGE))

        return await _measure_cost(exchange, rounds)


async def _measure_pynng_cost(rounds: int) -> float:
    with pynng.Pair0(listen="tcp://127.0.0.1:0") as receiver:
        address = str(receiver.listeners[0].local_address)
        with pynng.Pair0(dial=f"tcp://{address}") as sender:

            async def exchange() -> None:
                await sender.asend(MESSAGE)
                await receiver.arecv()

            return await _measure_cost(exchange, rounds)


async def _measure(rounds: int) -> None:
    interval_cost = await _measure_cost(trio.lowlevel.checkpoint, rounds)
    datagram_cost = await _measure_datagram_cost(rounds) - interval_cost
    pynng_cost = await _measure_pynng_cost(rounds) - interval_cost
    click.echo(
        f"us a message, both ends: datagram {datagram_cost:.0f}, "
        f"pynng {pynng_cost:.0f}, ratio {pynng_cost / datagram_cost:.1f}"
    )


@click.command()
@click.option("--rounds", default=1_000, show_default=True)
@click.option("--runs", default=3, show_default=True)
def main(rounds: int, runs: int) -> None:
    """Print the processor time of a message over each transport."""
    for _ in range(runs):
        trio.run(_measure, rounds)
