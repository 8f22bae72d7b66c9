"""One machine is left after a loss of power; a configuration follows."""

import asyncio
import os

from common3 import deployment as deployments

ZONES = ("zone-a", "zone-b", "zone-c")
MACHINES = 12
SETTLE_TIME = 8.0  # seconds of calm before the disruption
APPLY_TIME = 2.0  # config_apply_ms and drain_ms, in seconds
DARK_TIME = 2.0  # seconds without power
LEAVING_TIME = 0.3  # seconds that an instance serves beyond drain_ms
WATCHED_TIME = 7.0  # seconds after the acknowledgement
SERVICES = ["old", "new", "desk"]
ROUTES = {
    service: [
        deployments.route("lookup", "/lookup/", service),
        deployments.route("book", "/book/", "desk", "non_idempotent"),
    ]
    for service in ("old", "new")
}


def choose_survivor(deployment):
    """Return a machine that does not watch the store."""
    watches = deployment.store.watches
    others = [
        machine for machine in deployment.machines if not watches[machine.name]
    ]
    return others[0]


async def ask(deployment, machine, end):
    """Send look-ups to a machine; return their outcomes."""
    outcomes = []
    while deployment.record.now() < end:
        outcomes.append(await deployment.request(machine, "/lookup/x"))
        await asyncio.sleep(0.05)
    return outcomes


async def book(deployment, machine, begin, end):
    """Send bookings to a machine after a quiet time."""
    await asyncio.sleep(begin - deployment.record.now())
    tasks = []
    while deployment.record.now() < end:
        request = deployment.request(machine, "/book/x", "POST", body=b"1")
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


async def end_later(instance):
    """End an instance that is draining."""
    await asyncio.sleep(APPLY_TIME + LEAVING_TIME)
    instance.end()


async def lose_power(machines):
    """Take the power of machines for a time."""
    for machine in machines:
        machine.kill()
    await asyncio.sleep(DARK_TIME)
    for machine in machines:
        machine.start()


def count_late(deployment, outcomes, ack):
    """Return the look-ups that the old service ran too late."""
    sent_by_id = {outcome.id: outcome.sent for outcome in outcomes}
    late = []
    for instance in deployment.instances:
        if instance.service != "old":
            continue
        for run in instance.runs:
            sent = sent_by_id.get(run.request_id)
            if sent is not None and sent > ack + APPLY_TIME:
                late.append(sent - ack)
    return late


async def play(deployment):
    """Return whether a look-up was handled by an outdated version."""
    say = deployment.record.say
    await deployment.add_machines(MACHINES, ZONES)
    for service in ("old", "new"):
        for zone in ZONES:
            await deployment.add_instance(service, zone)
    desks = [
        await deployment.add_instance("desk", ZONES[0], work=0.3)
        for _ in range(2)
    ]
    deployment.publish(ROUTES["old"], SERVICES)
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
    desks[0].drain()
    ack = deployment.publish(ROUTES["new"], SERVICES)
    ending = asyncio.ensure_future(end_later(desks[0]))
    say(f"version acknowledged at {ack:.3f}; {survivor.name} is watched")
    end = ack + WATCHED_TIME
    outcomes, bookings = await asyncio.gather(
        ask(deployment, survivor, end),
        book(deployment, survivor, ack + APPLY_TIME + 0.05, end),
    )
    await ending
    if power is not None:
        await power
    late = count_late(deployment, outcomes, ack)
    if late:
        say(
            f"CONFIG: {len(late)} look-ups sent {min(late):.2f} to "
            f"{max(late):.2f} s after the ack were run by the old service"
        )
    sent_by_id = {outcome.id: outcome.sent for outcome in bookings}
    drained = [
        run
        for run in desks[0].arrivals
        if sent_by_id.get(run.request_id, 0.0) > ack + APPLY_TIME
    ]
    lost = sum(not run.answered for run in desks[0].runs)
    say(
        f"besides: {len(drained)} bookings reached the draining instance "
        f"after drain_ms; it ended while at work on {lost}"
    )
    return bool(late)


deployments.run(play, os.path.dirname(os.path.abspath(__file__)))
