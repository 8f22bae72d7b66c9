"""Runs commands of the command line against fixed responses of a VM."""

from click import testing
import trio

from primrosemill.cli import main
from primrosemill.standins import raw_tcp

IP = "127.0.0.1"


def answer(content: bytes, code: int = 200) -> bytes:
    """Build a complete HTTP response."""
    head = f"HTTP/1.1 {code} X\r\ncontent-length: {len(content)}\r\n\r\n"
    return head.encode() + content


def run(*arguments: str) -> testing.Result:
    """Run a command and return its result."""
    return testing.CliRunner().invoke(main.main, arguments)


def run_against(
    content: bytes, command: str, *arguments: str
) -> testing.Result:
    """Run a command against a stand-in that responds with the given bytes."""

    async def body() -> testing.Result:
        async with trio.open_nursery() as nursery:
            standin = raw_tcp.RawStandin(content)
            served = await nursery.start(standin.serve, IP)
            result = await trio.to_thread.run_sync(
                lambda: run(command, served.address, *arguments)
            )
            nursery.cancel_scope.cancel()
        return result

    return trio.run(body)
