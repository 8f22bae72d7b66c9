"""Runs one process of a measurement: a backend, a proxy or a caller.

The process reads its arguments as one line of JSON from the standard input
and writes its results as lines of JSON to the standard output.
"""

import functools
import os
import random
import sys
import typing

import msgspec
import trio

from primrosemill.configuration import values
from primrosemill.measure import _baseline_proxy
from primrosemill.measure import _load_generator
from primrosemill.proxy import daemon
from primrosemill.proxy import settings
from primrosemill.standins import asgi
from primrosemill.standins import instance
from primrosemill.standins import platform

IP = "127.0.0.1"
FLEET = "measured"
DOMAIN = "here"


class BackendArguments(typing.TypedDict):
    """Arguments of a stand-in instance; times in seconds."""

    id: str
    slots: int
    service_time: float


class PlatformArguments(typing.TypedDict):
    """Arguments of the stand-in platform, which publishes one service."""

    addresses: list[str]
    slots: int


class ProxyArguments(typing.TypedDict):
    """Arguments of a proxy; a profile is written unless its path is empty."""

    platform: str
    profile: str


class BareArguments(typing.TypedDict):
    """Arguments of the baseline, which forwards with the libraries alone."""

    addresses: list[str]


def _print_json(line: typing.Any) -> None:
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


async def _run_backend(arguments: BackendArguments) -> None:
    standin = instance.InstanceStandin(
        arguments["id"], arguments["slots"], arguments["service_time"]
    )
    async with trio.open_nursery() as nursery:
        served = await nursery.start(asgi.serve, standin, IP)
        _print_json({"address": served.address})


async def _run_platform(arguments: PlatformArguments) -> None:
    store = platform.PlatformStandin()
    store.publish(build_version(arguments["addresses"], arguments["slots"]))
    async with trio.open_nursery() as nursery:
        served = await nursery.start(asgi.serve, store, IP)
        _print_json({"address": served.address})


async def _run_proxy(arguments: ProxyArguments) -> None:
    vm_settings = settings.Settings(
        FLEET, "vm-0", IP, DOMAIN, arguments["platform"], 0, 0, 0
    )
    vm = daemon.Daemon(vm_settings, random.Random(1))
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(vm.run)
        _print_json({"port": ports.caller_port})
        if arguments["profile"]:
            nursery.start_soon(_profile, arguments["profile"])


async def _run_bare(arguments: BareArguments) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            _baseline_proxy.serve, arguments["addresses"]
        )
        _print_json({"port": port})


async def _profile(path: str) -> None:
    import cProfile

    profiler = cProfile.Profile()
    await trio.sleep(_load_generator.WARM_UP)
    profiler.enable()
    await trio.sleep(5.0)
    profiler.disable()
    profiler.dump_stats(path)


async def _run_load(arguments: _load_generator.LoadArguments) -> None:
    _print_json(await _load_generator.run(arguments))


def build_version(addresses: list[str], slots: int) -> dict[str, bytes]:
    """Build the keys and values of a version with one service."""
    service: values.ServiceValue = {
        "name": "measured",
        "revision": 1,
        "instances": [
            {"id": f"i-{number}", "address": address, "domain": DOMAIN}
            for number, address in enumerate(addresses)
        ],
        "routes": [
            {"path_prefix": "/once", "idempotent": False, "deadline": 60.0},
            {"path_prefix": "/", "idempotent": True, "deadline": 60.0},
        ],
        "slots": slots,
        "connections": 300,
        "floor": 1,
        "detection_weight": 0.5,
        "demand": 142.0,
        "cold_start": 0.0,
        "probe_path": "/health",
        "probe_interval": 10.0,
    }
    encoded = msgspec.json.encode(service)
    index: values.IndexValue = {
        "fleet": FLEET,
        "version": 1,
        "domains": [DOMAIN],
        "default_limit": {"rate": 1e6, "burst": 1_000_000},
        "services_by_name": {
            "measured": {"revision": 1, "digest": values.digest(encoded)}
        },
        "limits_by_shard": {},
    }
    return {
        values.service_key("measured", 1): encoded,
        values.INDEX_KEY: msgspec.json.encode(index),
    }


RUNNER_BY_ROLE = {
    "backend": _run_backend,
    "platform": _run_platform,
    "proxy": _run_proxy,
    "bare": _run_bare,
    "load": _run_load,
}


def main() -> None:
    """Run the role given on the command line."""
    arguments = msgspec.json.decode(sys.stdin.readline())
    os.environ.setdefault("PYTHONHASHSEED", "0")
    trio.run(functools.partial(RUNNER_BY_ROLE[sys.argv[1]], arguments))


if __name__ == "__main__":
    main()
