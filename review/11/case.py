"""One machine is left after a loss of power; an instance drains."""

import asyncio
import os

from common3 import deployment as deployments

ZONES = ("zone-a", "zone-b", "zone-c")
MACHINES = 12
SETTLE_TIME = 8.0  # seconds of calm before the disruption
DRAIN_TIME = 2.0  # drain_ms, in seconds
DARK_TIME = 2.0  # seconds without power
LEAVING_TIME = 0.3  # seconds that an instance serves beyond drain_ms
WORK_TIME = 0.3  # seconds
QUIET_TIME = DRAIN_TIME + 0.05  # seconds without bookings after the ack
BOOKINGS = 20
SLOTS = 3  # of each instance, as on the site
PAUSE = 0.01  # seconds between two bookings


def choose_survivor(deployment):
    """Return a machine that does not watch the store."""
    watches = deployment.store.watches
    others = [
        machine for machine in deployment.machines if not watches[machine.name]
    ]
    return others[0]


async def lose_power(machines):
    """Take the power of machines for a time."""
    for machine in machines:
        machine.kill()
    await asyncio.sleep(DARK_TIME)
    for machine in machines:
        machine.start()


async def end_later(instance):
    """End an instance that is draining."""
    await asyncio.sleep(DRAIN_TIME + LEAVING_TIME)
    instance.end()


async def book(deployment, machine):
    """Send bookings to a machine after a quiet time."""
    await asyncio.sleep(QUIET_TIME)
    tasks = []
    for _ in range(BOOKINGS):
        request = deployment.request(machine, "/book/x", "POST", body=b"1")
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(PAUSE)
    return await asyncio.gather(*tasks)


async def play(deployment):
    """Return whether bookings reached the instance after drain_ms."""
    say = deployment.record.say
    await deployment.add_machines(MACHINES, ZONES)
    for zone in ZONES * 2:
        await deployment.add_instance("desk", zone, SLOTS, WORK_TIME)
    routes = [deployments.route("book", "/book/", "desk", "non_idempotent")]
    deployment.publish(routes, ["desk"])
    for machine in deployment.machines:
        machine.start()
    await deployment.wait_until_ready(deployment.machines)
    await asyncio.sleep(SETTLE_TIME)
    survivor = choose_survivor(deployment)
    others = [each for each in deployment.machines if each is not survivor]
    power = None
    if deployments.is_troubled():
        power = asyncio.ensure_future(lose_power(others))
        await asyncio.sleep(0.1)
    leaving = next(
        instance
        for instance in deployment.instances
        if instance.zone == survivor.zone
    )
    leaving.drain()
    ack = deployment.record.now()
    say(f"{leaving.id} drains, acknowledged at {ack:.3f}")
    outcomes, _ = await asyncio.gather(
        book(deployment, survivor), end_later(leaving)
    )
    if power is not None:
        await power
    sent_by_id = {outcome.id: outcome.sent for outcome in outcomes}
    late = [
        sent_by_id[arrival.request_id] - ack
        for arrival in leaving.arrivals
        if sent_by_id.get(arrival.request_id, 0.0) > ack + DRAIN_TIME
    ]
    lost_ids = {run.request_id for run in leaving.runs if not run.answered}
    failed = [each.status for each in outcomes if each.id in lost_ids]
    say(
        f"{len(late)} of {BOOKINGS} bookings, sent {QUIET_TIME:.2f} s and "
        f"more after the ack, reached it by {survivor.name}"
    )
    say(f"it ended while at work on {len(lost_ids)}, answered {failed}")
    return bool(late)


deployments.run(play, os.path.dirname(os.path.abspath(__file__)))
