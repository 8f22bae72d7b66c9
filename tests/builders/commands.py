"""Runs commands of the command line against fixed answers of a VM."""

from click import testing
import trio

from primrosemill.cli import main
from primrosemill.standins import raw

IP = "127.0.0.1"


def answer(content: bytes, code: int = 200) -> bytes:
    """Build a whole HTTP answer."""
    head = f"HTTP/1.1 {code} X\r\ncontent-length: {len(content)}\r\n\r\n"
    return head.encode() + content


def run(*arguments: str) -> testing.Result:
    """Run a command."""
    return testing.CliRunner().invoke(main.main, arguments)


def run_against(content: bytes, name: str, *arguments: str) -> testing.Result:
    """Run a command in a thread while a stand-in answers with some bytes."""

    async def body() -> testing.Result:
        async with trio.open_nursery() as nursery:
            standin = raw.RawStandin(content)
            served = await nursery.start(standin.serve, IP)
            result = await trio.to_thread.run_sync(
                lambda: run(name, served.address, *arguments)
            )
            nursery.cancel_scope.cancel()
        return result

    return trio.run(body)
