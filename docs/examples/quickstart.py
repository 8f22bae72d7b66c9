"""Prints a small configuration for docs/quickstart.md."""

from primrosemill.publish import builders
from primrosemill.publish import publication
from primrosemill.publish import script

SERVICE = builders.service(
    "reservations",
    builders.instances("res", "127.0.1.1", 2, 9000, ("here",)),
    [
        builders.route("/slots", methods=["GET"], idempotent=True),
        builders.route("/bookings", methods=["POST"], idempotent=False),
    ],
    floor=1,
    slots=3,
    demand=50.0,
)
PLAN = publication.Plan(
    "quickstart", ("here",), (SERVICE,), builders.limit(100.0, 100), {}
)

if __name__ == "__main__":
    script.run(PLAN)
