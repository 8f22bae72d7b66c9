"""Prints the configuration of the Jordan Cine Rental Guild."""

from primrosemill.publish import builders
from primrosemill.publish import publication
from primrosemill.publish import script

DOMAINS = ("amman-a", "amman-b", "zarqa-c")
SLOTS = 2
PORT = 9000
# The desk runs close to its capacity, so a healthy instance wrongly taken
# out slows every lookup: only strong evidence ejects.
DETECTION_WEIGHT = 0.1

KIT_DESK = builders.service(
    "kit-desk",
    builders.instances("kit-desk", "10.60.1.1", 25, PORT, DOMAINS),
    [
        builders.route("/stock", methods=["GET"], idempotent=True),
        builders.route("/holds", methods=["GET"], idempotent=True),
        builders.route("/holds", methods=["POST"], idempotent=False),
        builders.route("/deposits", methods=["POST"], idempotent=False),
    ],
    floor=22,
    slots=SLOTS,
    demand=600.0,
    detection_weight=DETECTION_WEIGHT,
)
REEL_VAULT = builders.service(
    "reel-vault",
    builders.instances("reel-vault", "10.60.2.1", 6, PORT, DOMAINS),
    [
        builders.route("/reports", methods=["GET"], idempotent=True),
        builders.route(
            "/footage", methods=["POST"], idempotent=False, deadline=600.0
        ),
    ],
    floor=4,
    slots=SLOTS,
    demand=20.0,
    detection_weight=DETECTION_WEIGHT,
)
PLAN = publication.Plan(
    "guild",
    DOMAINS,
    (KIT_DESK, REEL_VAULT),
    builders.limit(rate=20.0, burst=40),
    {"house-aqaba": builders.limit(rate=100.0, burst=200)},
)

if __name__ == "__main__":
    script.run(PLAN)
