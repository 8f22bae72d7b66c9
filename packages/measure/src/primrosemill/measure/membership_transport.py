"""Measures a datagram against a pynng message, both ends in one process."""

import time
import typing

import click
import pynng
import trio

MESSAGE = b"x" * 300
PAUSE = 0.001  # seconds between messages
MICROSECONDS = 1_000_000
Exchange = typing.Callable[[], typing.Awaitable[typing.Any]]


async def _cost(exchange: Exchange, rounds: int) -> float:
    """Return the processor time of one exchange and a pause, in us."""
    started = time.process_time()
    for _ in range(rounds):
        await exchange()
        await trio.sleep(PAUSE)
    return (time.process_time() - started) / rounds * MICROSECONDS


async def _datagram_cost(rounds: int) -> float:
    receiver = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    sender = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    with receiver, sender:
        await receiver.bind(("127.0.0.1", 0))
        address = receiver.getsockname()

        async def exchange() -> None:
            await sender.sendto(MESSAGE, address)
            await receiver.recvfrom(len(MESSAGE))

        return await _cost(exchange, rounds)


async def _pynng_cost(rounds: int) -> float:
    with pynng.Pair0(listen="tcp://127.0.0.1:0") as receiver:
        address = str(receiver.listeners[0].local_address)
        with pynng.Pair0(dial=f"tcp://{address}") as sender:

            async def exchange() -> None:
                await sender.asend(MESSAGE)
                await receiver.arecv()

            return await _cost(exchange, rounds)


async def _measure(rounds: int) -> None:
    pause = await _cost(trio.lowlevel.checkpoint, rounds)
    datagram = await _datagram_cost(rounds) - pause
    message = await _pynng_cost(rounds) - pause
    click.echo(
        f"us a message, both ends: datagram {datagram:.0f}, "
        f"pynng {message:.0f}, ratio {message / datagram:.1f}"
    )


@click.command()
@click.option("--rounds", default=1_000, show_default=True)
@click.option("--runs", default=3, show_default=True)
def main(rounds: int, runs: int) -> None:
    """Print the processor time of a message over either transport."""
    for _ in range(runs):
        trio.run(_measure, rounds)
