"""All instances send a few answers that never end."""

import asyncio
import os

from common3 import deployment as deployments

ZONE = "zone-a"
MACHINES = 9
ENDLESS_SHARE = 0.05  # of the answers of all instances
TIMEOUT = 1.0  # timeout_ms of the route, in seconds
LATE_AFTER = 0.5  # seconds that an answer may be late
TIME_LIMIT = 4.0  # seconds that requesters wait
BOOKINGS = 600
PAUSE = 0.03  # seconds between two bookings


async def play(deployment):
    """Return whether bookings have no final answer after their timeout."""
    say = deployment.record.say
    await deployment.add_machines(MACHINES, (ZONE,))
    instances = [await deployment.add_instance("desk", ZONE) for _ in range(5)]
    kind, timeout_ms = "non_idempotent", int(TIMEOUT * 1000)
    routes = [deployments.route("book", "/book/", "desk", kind, timeout_ms)]
    deployment.publish(routes, ["desk"])
    for machine in deployment.machines:
        machine.start()
    await deployment.wait_until_ready(deployment.machines)
    await asyncio.sleep(2.0)
    if deployments.is_troubled():
        for instance in instances:
            instance.endless_share = ENDLESS_SHARE
    tasks = []
    for number in range(BOOKINGS):
        machine = deployment.machines[number % MACHINES]
        request = deployment.request(
            machine, "/book/x", "POST", TIME_LIMIT, body=b"1"
        )
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(PAUSE)
    outcomes = await asyncio.gather(*tasks)
    times = [outcome.ended - outcome.sent for outcome in outcomes]
    long = [time for time in times if time > TIMEOUT]
    late = [time for time in long if time > TIMEOUT + LATE_AFTER]
    unanswered = sum(outcome.answer is None for outcome in outcomes)
    say(
        f"{len(long)} of {len(times)} bookings lasted longer than their "
        f"route's timeout_ms; {len(late)} had no final answer "
        f"{LATE_AFTER} s later"
    )
    say(f"{unanswered} had none within their time limit of {TIME_LIMIT} s")
    return len(late) >= 8 and len(late) > len(long) / 4


deployments.run(play, os.path.dirname(os.path.abspath(__file__)))
