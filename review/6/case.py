"""Sends heads in two parts beside a freeze, and checks each 408.

CROWD=1 shows the same without a freeze: clients whose heads take longer than
the configuration allows.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import parts  # noqa: E402

PROMISES = {408, 421, 429, 503}
HEAD_TIMEOUT = 3.0  # seconds, as the configuration says
VMS = 10  # of which one is frozen at a time
FREEZES = 22
FREEZE_AFTER = 2.2  # seconds from the first part of a head
FREEZE = 0.9  # seconds
BOOKINGS = 24  # sent before each freeze
HEAD_PAUSE = 2.6  # seconds between the two parts of a head
CROWD = 300
CROWD_PAUSES = (2.9, 4.0)  # seconds
CROWD_LENGTH = 75.0  # seconds
USUAL_CLIENTS = 12  # of the VM that is frozen; each other one has one
DEADLINE = 7_000  # milliseconds that a client waits
BODY = b"station=7&hour=05:00"


class Clients:
    """The clients of the case, and what they were told."""

    def __init__(self, world: parts.World) -> None:
        self._world = world
        self._generator = random.Random(1)
        self.told: dict[str, int] = {}
        self.slowest_head = 0.0
        self.is_over = False

    async def book(self, address: tuple[str, int], pause: float) -> None:
        """Send a booking on a new connection, its head in two parts."""
        request_id = parts.new_id(self._generator)
        head = parts.request_head(
            "POST", "/pufi791/2f", request_id, DEADLINE, len(BODY)
        )
        answer, took = parts.NO_ANSWER, 0.0
        try:
            reader, writer = await asyncio.open_connection(*address)
            began = time.monotonic()
            writer.write(head[:60])
            await asyncio.sleep(pause)
            writer.write(head[60:] + BODY)
            await writer.drain()
            took = time.monotonic() - began
            answer = await asyncio.wait_for(parts.read_answer(reader), 8.0)
            writer.close()
        except (TimeoutError, OSError):
            pass
        self.told[request_id] = answer.status
        self.slowest_head = max(self.slowest_head, took)
        self._world.record.write(
            f"client: {request_id}, its head took {took:.2f} s, "
            f"answer {answer.status}"
        )

    async def book_usually(self, address: tuple[str, int]) -> None:
        """Send bookings one after the other on a kept connection."""
        reader, writer = await asyncio.open_connection(*address)
        while not self.is_over:
            request_id = parts.new_id(self._generator)
            writer.write(
                parts.request_head(
                    "POST", "/pufi791/2f", request_id, DEADLINE, len(BODY)
                )
                + BODY
            )
            answer = await parts.read_answer(reader)
            self.told[request_id] = answer.status
            if not answer.status or (
                answer.headers.get("connection") == "close"
            ):
                writer.close()
                reader, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(0.05)
        writer.close()

    async def crowd(self, address: tuple[str, int], ends: float) -> None:
        """Send bookings with slow heads until the end."""
        await asyncio.sleep(self._generator.uniform(0.0, 4.0))
        while time.monotonic() < ends:
            await self.book(address, self._generator.uniform(*CROWD_PAUSES))


async def freeze_in_turn(
    world: parts.World, clients: Clients, troubled: bool
) -> None:
    """Freeze a VM again and again while heads are on their way to it."""
    vm = world.vms[0]
    for _ in range(FREEZES):
        async with asyncio.TaskGroup() as group:
            for _ in range(BOOKINGS):
                group.create_task(
                    clients.book(vm.address("callers"), HEAD_PAUSE)
                )
            await asyncio.sleep(FREEZE_AFTER)
            if troubled:
                world.record.write(f"{vm.id}: freezes")
                vm.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE)
            if troubled:
                vm.send_signal(signal.SIGCONT)
                world.record.write(f"{vm.id}: wakes")
        await asyncio.sleep(0.5)


async def send_crowd(world: parts.World, clients: Clients) -> None:
    ends = time.monotonic() + CROWD_LENGTH
    async with asyncio.TaskGroup() as group:
        for number in range(CROWD):
            address = world.vms[number % 3].address("callers")
            group.create_task(clients.crowd(address, ends))


async def case(world: parts.World, troubled: bool) -> int:
    await world.store.start("127.0.0.1")
    world.store.put(
        "op/config", parts.configuration({"/pufi791/": "non_idempotent"})
    )
    await world.add_instances(
        *(
            parts.Instance(world.record, f"i-{number:08x}", 3, 0.02)
            for number in range(1, 7)
        )
    )
    if not await world.start_vms(VMS):
        print("the VMs weren't ready")
        return 2
    clients = Clients(world)
    async with asyncio.TaskGroup() as group:
        for vm in world.vms[:1] * USUAL_CLIENTS + world.vms[1:]:
            address = vm.address("callers")
            group.create_task(clients.book_usually(address))
        if os.environ.get("CROWD") == "1" and troubled:
            await send_crowd(world, clients)
        else:
            await freeze_in_turn(world, clients, troubled)
        clients.is_over = True
    await asyncio.sleep(1.0)
    runs = world.runs_by_id()
    false = [
        each
        for each, status in clients.told.items()
        if status in PROMISES and each in runs
    ]
    counts: dict[int, int] = {}
    for status in clients.told.values():
        counts[status] = counts.get(status, 0) + 1
    text = (
        f"answers by status {dict(sorted(counts.items()))}; the slowest head "
        f"took {clients.slowest_head:.2f} s of {HEAD_TIMEOUT} s; "
        f"answered as not run, and run: {len(false)}"
    )
    for each in false:
        world.record.write(
            f"REFUSED: {each} answered {clients.told[each]}, "
            f"run by {runs[each]}"
        )
    world.record.write(text)
    print(text)
    return 1 if false else 0


if __name__ == "__main__":
    parts.run_case(case, FOLDER)
