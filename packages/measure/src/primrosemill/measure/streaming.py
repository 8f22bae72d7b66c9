"""Measures a proxy's memory while a large body streams through it."""

import time
import typing

import click
import httpcore

from primrosemill.measure import _processes

MAX_RESIDENT = 128  # MB; the target
MEGABYTE = 1_000_000  # bytes
CHUNK = b"p" * 65_536
SLOTS = 3
TIMEOUTS = {"read": 600.0, "write": 600.0, "connect": 5.0}  # seconds


def _chunks(size: int) -> typing.Iterator[bytes]:
    while size > 0:
        yield CHUNK[:size]
        size -= len(CHUNK)


def upload(port: int, size: int) -> int:
    """Send a body of a size; return how many bytes the instance received."""
    with httpcore.stream(
        "POST",
        f"http://127.0.0.1:{port}/once",
        headers={"content-length": str(size), "x-request-id": "upload"},
        content=_chunks(size),
        extensions={"timeout": TIMEOUTS},
    ) as response:
        headers = dict(response.headers)
        response.read()
        return int(headers.get(b"x-received-bytes", b"0"))


def download(port: int, size: int) -> int:
    """Request a response of a size; return how many bytes were received."""
    received = 0
    with httpcore.stream(
        "GET",
        f"http://127.0.0.1:{port}/get?size={size}",
        extensions={"timeout": TIMEOUTS},
    ) as response:
        for chunk in response.iter_stream():
            received += len(chunk)
    return received


@click.command()
@click.option("--megabytes", default=200, help="Size of each body.")
def main(megabytes: int) -> None:
    """Measure peak memory with one large upload and one large download."""
    backend = {"id": "i-0", "slots": SLOTS, "service_time": 0.0}
    with _processes.running_child("backend", backend) as instance:
        addresses = [instance.read_line()["address"]]
        platform = {"addresses": addresses, "slots": SLOTS}
        with _processes.running_child("platform", platform) as store:
            platform_address = store.read_line()["address"]
            proxy = {"platform": platform_address, "profile": ""}
            with _processes.running_child("proxy", proxy) as vm:
                _measure_streams(vm, megabytes * MEGABYTE)


def _measure_streams(vm: _processes.Child, size: int) -> None:
    port = vm.read_line()["port"]
    before = vm.read_usage().peak_resident
    click.echo(f"target: under {MAX_RESIDENT} MB resident at the peak")
    click.echo(f"at rest: {before / MEGABYTE:.1f} MB")
    for name, stream in (("upload", upload), ("download", download)):
        started = time.monotonic()
        received = stream(port, size)
        elapsed = time.monotonic() - started
        click.echo(
            f"{name}: {received / MEGABYTE:.1f} of {size / MEGABYTE:.1f} MB "
            f"in {elapsed:.1f} s, "
            f"peak {vm.read_usage().peak_resident / MEGABYTE:.1f} MB resident"
        )
