"""Measures a proxy's memory while a large body streams through it."""

import time
import typing

import click
import httpcore

from primrosemill.measure import _children

TARGET_RESIDENT = 128  # MB
MEGABYTE = 1_000_000  # bytes
PIECE = b"p" * 65_536
SLOTS = 3
TIMEOUT = {"read": 600.0, "write": 600.0, "connect": 5.0}


def _pieces(size: int) -> typing.Iterator[bytes]:
    while size > 0:
        yield PIECE[:size]
        size -= len(PIECE)


def upload(port: int, size: int) -> int:
    """Send a body; returns how many bytes the instance says it got."""
    with httpcore.stream(
        "POST",
        f"http://127.0.0.1:{port}/once",
        headers={"content-length": str(size), "x-request-id": "upload"},
        content=_pieces(size),
        extensions={"timeout": TIMEOUT},
    ) as response:
        headers = dict(response.headers)
        response.read()
        return int(headers.get(b"x-received-bytes", b"0"))


def download(port: int, size: int) -> int:
    """Ask for an answer of a size; returns how many bytes came."""
    received = 0
    with httpcore.stream(
        "GET",
        f"http://127.0.0.1:{port}/get?size={size}",
        extensions={"timeout": TIMEOUT},
    ) as response:
        for piece in response.iter_stream():
            received += len(piece)
    return received


@click.command()
@click.option("--megabytes", default=200, help="Size of each body.")
def main(megabytes: int) -> None:
    """Measure peak memory with one large upload and one large download."""
    backend = {"id": "i-0", "slots": SLOTS, "service_time": 0.0}
    with _children.child("backend", backend) as instance:
        addresses = [instance.read_line()["address"]]
        platform = {"addresses": addresses, "slots": SLOTS}
        with _children.child("platform", platform) as store:
            at = store.read_line()["address"]
            proxy = {"platform": at, "profile": ""}
            with _children.child("proxy", proxy) as vm:
                _stream_both(vm, megabytes * MEGABYTE)


def _stream_both(vm: _children.Child, size: int) -> None:
    port = vm.read_line()["port"]
    before = vm.usage().peak_resident
    click.echo(f"target: under {TARGET_RESIDENT} MB resident at the peak")
    click.echo(f"at rest: {before / MEGABYTE:.1f} MB")
    for name, stream in (("upload", upload), ("download", download)):
        started = time.monotonic()
        moved = stream(port, size)
        elapsed = time.monotonic() - started
        click.echo(
            f"{name}: {moved / MEGABYTE:.1f} of {size / MEGABYTE:.1f} MB "
            f"in {elapsed:.1f} s, "
            f"peak {vm.usage().peak_resident / MEGABYTE:.1f} MB resident"
        )
