"""Runs a stand-in as a process: ``python -m primrosemill.standins NAME``."""

import pathlib

import click
import trio

from primrosemill.configuration import files
from primrosemill.standins import asgi
from primrosemill.standins import instance
from primrosemill.standins import platform
from primrosemill.standins import platform_modes as modes

RELOAD_INTERVAL = 0.5  # seconds
DEFAULT_SLOTS = 3
DEFAULT_SERVICE_TIME = 0.02  # seconds


class AddressType(click.ParamType):
    """Command-line parameter ``ip:port``; port 0 selects a free one."""

    name = "address"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> asgi.SocketAddress:
        """Return the parsed address, or report a usage error."""
        ip, _, port = value.rpartition(":")
        if not ip or not port.isdecimal():
            self.fail(
                f"{value!r} is not an IP address with a port", param, ctx
            )
        return asgi.SocketAddress(ip, int(port))


@click.group()
def main() -> None:
    """Run stand-ins for the platform and for backend servers."""


@main.command("platform")
@click.argument("at", metavar="ADDRESS", type=AddressType())
@click.argument(
    "path", metavar="FILE", type=click.Path(path_type=pathlib.Path)
)
def run_platform(at: asgi.SocketAddress, path: pathlib.Path) -> None:
    """Serve a document file as the configuration service, and no VM list.

    The file is read again when it changes; a file that cannot be read, or
    none, makes the service answer as one that is down.
    """
    trio.run(_run_platform, at, path)


async def _run_platform(
    listen_address: asgi.SocketAddress, path: pathlib.Path
) -> None:
    standin = platform.PlatformStandin()
    standin.mode = modes.Down()
    async with trio.open_nursery() as nursery:
        socket_address = await nursery.start(
            asgi.serve, standin, *listen_address
        )
        click.echo(f"platform: {socket_address.address}")
        last_content = b""
        while True:
            content = await _read(path)
            if content != last_content:
                last_content = content
                _apply_content(standin, content)
            await trio.sleep(RELOAD_INTERVAL)


async def _read(path: pathlib.Path) -> bytes:
    try:
        return await trio.Path(path).read_bytes()
    except OSError:
        return b""


def _apply_content(standin: platform.PlatformStandin, content: bytes) -> None:
    decoded = files.decode(content)
    if not content or decoded.is_error():
        standin.mode = modes.Down()
        return
    standin.mode = modes.Working()
    standin.publish(decoded.ok.values_by_key)


@main.command("instance")
@click.argument("at", metavar="ADDRESS", type=AddressType())
@click.option("--id", "instance_id", default="instance", show_default=True)
@click.option("--slots", default=DEFAULT_SLOTS, show_default=True)
@click.option(
    "--service-time",
    default=DEFAULT_SERVICE_TIME,
    show_default=True,
    help="Seconds.",
)
def run_instance(
    at: asgi.SocketAddress,
    instance_id: str,
    slots: int,
    service_time: float,
) -> None:
    """Serve as one instance of a backend server."""
    standin = instance.InstanceStandin(instance_id, slots, service_time)
    trio.run(_run_instance, at, standin)


async def _run_instance(
    listen_address: asgi.SocketAddress, standin: instance.InstanceStandin
) -> None:
    async with trio.open_nursery() as nursery:
        socket_address = await nursery.start(
            asgi.serve, standin, *listen_address
        )
        click.echo(f"instance: {socket_address.address}")


if __name__ == "__main__":
    main(prog_name="standins")
