"""Runs concurrent callers against instances with seeded random faults."""

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

RUN_TIMEOUT = 90  # seconds; turns a hang into a failure
INSTANCE_COUNT = 4
CALLER_COUNT = 8
CALLS_PER_CALLER = 25
MODES = tuple(faults.Mode)
CHANGE_INTERVAL = 0.03  # seconds
DEADLINE = 0.6  # seconds
CALL_TIMEOUT = 15.0  # seconds after which a call counts as stuck
PADDING_SIZES = (0, 0, 100, 200_000)  # bytes of padding


class ChaosRun(typing.NamedTuple):
    """A proxy, its instances, and the calls that callers have made.

    ``stuck_tags`` lists the tags of the calls that have timed out.
    """

    path: builders.Path
    standins: list[instance.InstanceStandin]
    calls: list[history.Call]
    stuck_tags: list[str]


def record(
    seed: int, non_idempotent_path: str, policies: request_policies.Policies
) -> ChaosRun:
    """Run callers against faulty instances and return what was recorded."""
    return trio.run(_record_with_timeout, seed, non_idempotent_path, policies)


def history_of(run: ChaosRun) -> history.History:
    """Return the history of a run for the checker."""
    runs_by_tag: dict[str, int] = {}
    for standin in run.standins:
        for tag, count in standin.runs_by_tag.items():
            runs_by_tag[tag] = runs_by_tag.get(tag, 0) + count
    return history.History(tuple(run.calls), runs_by_tag)


async def _record_with_timeout(
    seed: int, non_idempotent_path: str, policies: request_policies.Policies
) -> ChaosRun:
    with trio.fail_after(RUN_TIMEOUT):
        return await _record(seed, non_idempotent_path, policies)


async def _record(
    seed: int, non_idempotent_path: str, policies: request_policies.Policies
) -> ChaosRun:
    with socket.socket() as bound_socket:
        bound_socket.bind((builders.IP, 0))
        refusing_address = f"{builders.IP}:{bound_socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            standins = [
                instance.InstanceStandin(
                    f"res-{number}",
                    2,
                    0.002,
                    generator=random.Random(f"{seed}/{number}"),
                )
                for number in range(INSTANCE_COUNT)
            ]
            addresses = await builders.start_standins(nursery, standins)
            path = await builders.start_path(
                nursery, [*addresses, refusing_address], policies, DEADLINE
            )
            run = ChaosRun(path, standins, [], [])
            nursery.start_soon(
                _change_sicknesses, random.Random(seed), standins
            )
            async with trio.open_nursery() as caller_nursery:
                for number in range(CALLER_COUNT):
                    generator = random.Random(f"{seed}/caller/{number}")
                    caller_nursery.start_soon(
                        _send_calls,
                        run,
                        number,
                        non_idempotent_path,
                        generator,
                    )
            # Returns when no connection and no request is left.
            await path.server.drain()
            nursery.cancel_scope.cancel()
    return run


async def _change_sicknesses(
    generator: random.Random, standins: list[instance.InstanceStandin]
) -> None:
    while True:
        for standin in standins[1:]:
            sickness = faults.InjectedFault(generator.choice(MODES), 0.7)
            standin.set_sickness(sickness)
        await trio.sleep(CHANGE_INTERVAL)


async def _send_calls(
    run: ChaosRun,
    caller: int,
    non_idempotent_path: str,
    generator: random.Random,
) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(CALLS_PER_CALLER):
            tag = f"c{caller}-{number}"
            send_call = functools.partial(_call, run, pool, tag)
            with trio.move_on_after(CALL_TIMEOUT) as scope:
                run.calls.append(
                    await send_call(non_idempotent_path, generator)
                )
            if scope.cancelled_caught:
                run.stuck_tags.append(tag)


async def _call(
    run: ChaosRun,
    pool: httpcore.AsyncConnectionPool,
    tag: str,
    non_idempotent_path: str,
    generator: random.Random,
) -> history.Call:
    idempotent = generator.random() < 0.5
    target = builders.IDEMPOTENT_PATH if idempotent else non_idempotent_path
    padding = generator.choice(PADDING_SIZES)
    expected = f"{tag} res-".encode()
    call = history.Call(tag, idempotent, expected, len(expected) + 1 + padding)
    try:
        response = await pool.request(
            "GET" if idempotent else "POST",
            f"http://{builders.IP}:{run.path.port}{target}?size={padding}",
            headers={"x-request-id": tag},
            content=None
            if idempotent
            else b"b" * generator.choice(PADDING_SIZES),
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return call._replace(incomplete=True)
    return builders.with_response(call, response)
