"""A machine with a grace of 10 s is stopped.

A requester holds a connection to it. The directory names no address any more,
so it goes on using the one that it has, as PROTOCOL.md says, and sends a
request 4.3 s after the SIGTERM. Its instance works for 5 s.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins  # noqa: E402

HOST = "uploads.example"
SERVICE = "compliance"
ZONE = "ain-sebaa"
NODE = f"edge-{ZONE}-1"
LIMIT_MS = 10000
WORK = 5.0  # seconds
GRACE_S = 10
DELAY = 0.0014  # seconds one way to an instance of another zone
SENT_AFTER = 4.3  # seconds after the SIGTERM
TTL = 1.0  # seconds


async def run(record, trouble):
    store = standins.Store()
    await store.open()
    instance = standins.Instance(
        "i-0", SERVICE, ZONE, record, slots=3, work=lambda h: WORK, delay=DELAY
    )
    await instance.open()
    route = standins.route(
        "records",
        HOST,
        "/records/",
        SERVICE,
        kind="non_idempotent",
        timeout_ms=LIMIT_MS,
        target_latency_ms=8000,
    )
    store.put("op/config", standins.configuration([route]))
    store.put(f"servers/{instance.name}", instance.entry())
    fleet = standins.Fleet(store.address, {ZONE: 1}, {"grace_s": GRACE_S})
    try:
        fleet.start(NODE)
        await fleet.wait_ready([NODE])
        await asyncio.sleep(2.0)
        addresses = await fleet.resolve(NODE, HOST, ZONE)
        record.add("resolved", addresses=addresses)
        requester = standins.Requester(addresses[0], record)
        await requester.connect()
        stopped = time.monotonic()
        if trouble:
            record.add("SIGTERM", node=NODE)
            fleet.signal(NODE, signal.SIGTERM)
        while (left := stopped + SENT_AFTER - time.monotonic()) > 0:
            await asyncio.sleep(min(left, TTL))
            if left < TTL:
                break
            obtained = await fleet.resolve(NODE, HOST, ZONE)
            record.add("resolved", addresses=obtained)
            if obtained and addresses[0] not in obtained:
                raise standins.CaseError("the requester was sent elsewhere")
        answer = await requester.send(
            "POST", HOST, "/records/1", "late", LIMIT_MS, b"a record"
        )
        record.add("sent after", seconds=round(answer.sent - stopped, 2))
        # A request that was rejected has not run, and is no loss.
        ran = answer.request in instance.started
        whole = "primrosemill-server-signature" in answer.headers
        if not ran or (whole and answer.fault is None):
            return []
        return [answer.request]
    finally:
        fleet.close()


standins.main(run, __file__)
