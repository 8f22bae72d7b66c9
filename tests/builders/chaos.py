"""Builds concurrent runs with faults drawn from a seed."""

import functools
import random
import socket
import typing

import httpcore
import trio

from primrosemill.proofs import history
from primrosemill.proxy import request_policies
from primrosemill.standins import faults
from primrosemill.standins import instance
from tests.builders import path as builders

LIMIT = 90  # seconds; a hang ends as a failure.
INSTANCES = 4
CALLERS = 8
CALLS = 25
MODES = tuple(faults.Mode)
CHANGE_INTERVAL = 0.03  # seconds
DEADLINE = 0.6  # seconds
PATIENCE = 15.0  # seconds, after which a call counts as stuck
SIZES = (0, 0, 100, 200_000)  # bytes of padding


class Run(typing.NamedTuple):
    """The parts of one run."""

    path: builders.Path
    standins: list[instance.InstanceStandin]
    calls: list[history.Call]
    stuck: list[str]


def record(
    seed: int, once_path: str, decisions: request_policies.Policies
) -> Run:
    """Run callers against sick instances; returns what all met."""
    return trio.run(_bounded, seed, once_path, decisions)


def history_of(run: Run) -> history.History:
    """Return the history that the checker reads."""
    runs_by_tag: dict[str, int] = {}
    for standin in run.standins:
        for tag, count in standin.runs_by_tag.items():
            runs_by_tag[tag] = runs_by_tag.get(tag, 0) + count
    return history.History(tuple(run.calls), runs_by_tag)


async def _bounded(
    seed: int, once_path: str, decisions: request_policies.Policies
) -> Run:
    with trio.fail_after(LIMIT):
        return await _record(seed, once_path, decisions)


async def _record(
    seed: int, once_path: str, decisions: request_policies.Policies
) -> Run:
    with socket.socket() as unheard:
        unheard.bind((builders.IP, 0))
        refusing = f"{builders.IP}:{unheard.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            standins = [
                instance.InstanceStandin(
                    f"res-{number}",
                    2,
                    0.002,
                    generator=random.Random(f"{seed}/{number}"),
                )
                for number in range(INSTANCES)
            ]
            addresses = await builders.start_standins(nursery, standins)
            path = await builders.start_path(
                nursery, [*addresses, refusing], decisions, DEADLINE
            )
            run = Run(path, standins, [], [])
            nursery.start_soon(_change_modes, random.Random(seed), standins)
            async with trio.open_nursery() as callers:
                for number in range(CALLERS):
                    generator = random.Random(f"{seed}/caller/{number}")
                    callers.start_soon(
                        _call_often, run, number, once_path, generator
                    )
            # Ends once no connection and no request is left.
            await path.server.drain()
            nursery.cancel_scope.cancel()
    return run


async def _change_modes(
    generator: random.Random, standins: list[instance.InstanceStandin]
) -> None:
    while True:
        for standin in standins[1:]:
            sickness = faults.Sickness(generator.choice(MODES), 0.7)
            standin.set_sickness(sickness)
        await trio.sleep(CHANGE_INTERVAL)


async def _call_often(
    run: Run, caller: int, once_path: str, generator: random.Random
) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(CALLS):
            tag = f"c{caller}-{number}"
            call = functools.partial(_call, run, pool, tag)
            with trio.move_on_after(PATIENCE) as scope:
                run.calls.append(await call(once_path, generator))
            if scope.cancelled_caught:
                run.stuck.append(tag)


async def _call(
    run: Run,
    pool: httpcore.AsyncConnectionPool,
    tag: str,
    once_path: str,
    generator: random.Random,
) -> history.Call:
    idempotent = generator.random() < 0.5
    target = builders.IDEMPOTENT_PATH if idempotent else once_path
    padding = generator.choice(SIZES)
    expected = f"{tag} res-".encode()
    call = history.Call(tag, idempotent, expected, len(expected) + 1 + padding)
    try:
        response = await pool.request(
            "GET" if idempotent else "POST",
            f"http://{builders.IP}:{run.path.port}{target}?size={padding}",
            headers={"x-request-id": tag},
            content=None if idempotent else b"b" * generator.choice(SIZES),
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return call._replace(broken=True)
    return builders.told(call, response)
