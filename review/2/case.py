"""A planned stop of a machine while requests wait for an instance.

Two instances with two slots each are busy with long requests; others wait in
the machine's queue. Then the machine gets a SIGTERM. What it has read must be
answered before it ends.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins  # noqa: E402

HOST = "orders.example"
SERVICE = "ordermill"
ZONE = "quimper-a"
NODE = f"edge-{ZONE}-1"
LIMIT_MS = 10000
TARGET_MS = 8000
USUAL_WORK = 0.8  # seconds
LONG_WORK = 5.0  # seconds
SLOTS = 2
INSTANCES = 2
WAITING = 14  # requests that wait as the signal comes
GRACE_S = 6
LOSS_SLACK = 0.2  # seconds


def work(headers):
    """Return the seconds that an instance works on a request."""
    request = headers["primrosemill-request-id"]
    return LONG_WORK if request.startswith("long") else USUAL_WORK


def is_lost(answer, instances, stopped):
    """Return whether the rule LOST is broken for a request."""
    if answer.fault is None or answer.ended - answer.sent <= LOSS_SLACK:
        return False
    if not stopped <= answer.ended <= stopped + GRACE_S + 1.0:
        return False
    started = [
        each.started[answer.request]
        for each in instances
        if answer.request in each.started
    ]
    # An instance that was still at work in the last sixth excuses it.
    return not started or answer.ended < stopped + GRACE_S * 5 / 6


async def run(record, trouble):
    store = standins.Store()
    await store.open()
    instances = []
    for number in range(INSTANCES):
        instance = standins.Instance(
            f"i-{number}", SERVICE, ZONE, record, slots=SLOTS, work=work
        )
        await instance.open()
        instances.append(instance)
    route = standins.route(
        "orders",
        HOST,
        "/orders/",
        SERVICE,
        kind="non_idempotent",
        timeout_ms=LIMIT_MS,
        target_latency_ms=TARGET_MS,
    )
    store.put("op/config", standins.configuration([route]))
    for instance in instances:
        store.put(f"servers/{instance.name}", instance.entry())
    fleet = standins.Fleet(store.address, {ZONE: 1}, {"grace_s": GRACE_S})

    def send(request):
        requester = standins.Requester(fleet.address(NODE, "front"), record)
        return asyncio.ensure_future(
            requester.send(
                "POST", HOST, "/orders/1", request, LIMIT_MS, b"an order"
            )
        )

    try:
        fleet.start(NODE)
        await fleet.wait_ready([NODE])
        await asyncio.sleep(1.0)
        for number in range(5):
            # The machine learns how long its instances usually take.
            await asyncio.gather(*(send(f"usual-{number}-{k}") for k in "ab"))
        answers = [send(f"long-{n}") for n in range(SLOTS * INSTANCES)]
        for number in range(WAITING):
            await asyncio.sleep(0.02)
            answers.append(send(f"waiting-{number}"))
        await asyncio.sleep(0.1)
        stopped = time.monotonic()
        if trouble:
            record.add("SIGTERM", node=NODE)
            fleet.signal(NODE, signal.SIGTERM)
        answers = await asyncio.gather(*answers)
        lost = [
            answer.request
            for answer in answers
            if is_lost(answer, instances, stopped)
        ]
        record.add("lost", ids=lost)
        return lost
    finally:
        fleet.close()


standins.main(run, __file__)
