"""Prints the configuration of Cooperative Cuisines Partagées Atlas."""

from primrosemill.publish import builders
from primrosemill.publish import publication
from primrosemill.publish import script

DOMAINS = ("ain-sebaa", "hay-riad", "sidi-maarouf")
SLOTS = 3
PORT = 9000
# A dawn slot listing behind a sick instance costs a baker the oven, so a
# suspect goes out early.
DETECTION_WEIGHT = 0.9

RESERVATIONS = builders.service(
    "reservations",
    builders.instances("reservations", "10.40.1.1", 20, PORT, DOMAINS),
    [
        builders.route("/slots", methods=["GET"], idempotent=True),
        builders.route("/bookings", methods=["GET"], idempotent=True),
        builders.route("/bookings", methods=["POST"], idempotent=False),
    ],
    floor=14,
    slots=SLOTS,
    demand=600.0,
    detection_weight=DETECTION_WEIGHT,
)
COMPLIANCE = builders.service(
    "compliance",
    builders.instances("compliance", "10.40.2.1", 6, PORT, DOMAINS),
    [
        builders.route("/records", methods=["GET"], idempotent=True),
        builders.route(
            "/certificates", methods=["POST"], idempotent=False, deadline=120.0
        ),
        builders.route(
            "/photos", methods=["PUT"], idempotent=True, deadline=120.0
        ),
    ],
    floor=4,
    slots=SLOTS,
    demand=40.0,
    detection_weight=DETECTION_WEIGHT,
)
PLAN = publication.Plan(
    "atlas",
    DOMAINS,
    (RESERVATIONS, COMPLIANCE),
    builders.limit(rate=20.0, burst=40),
    {"front-desk": builders.limit(rate=200.0, burst=400)},
)

if __name__ == "__main__":
    script.run(PLAN)
