"""Derives every limit of detection from the one setting of a service."""

import math
import typing

# Scores are log likelihood ratios in nats. A sequential test that stops at
# ``h`` raises a false alarm about once in ``exp(h)`` renewals.
EJECT_AT_WEIGHT_0 = 24.0
EJECT_AT_WEIGHT_1 = 5.0
SUPPORT_SHARE = 0.5
LEAST_SUPPORT = 5.0  # One error and a slow answer come by chance.
CLEAR_SHARE = 0.25


class Thresholds(typing.NamedTuple):
    """The scores at which a VM acts, in nats.

    ``act`` takes an instance out, ``support`` confirms a peer's suspicion
    and ``clear`` is below what any peer takes for a sign of sickness.
    """

    act: float
    support: float
    clear: float


def from_weight(detection_weight: float) -> Thresholds:
    """Return the thresholds for a weight from 0 (patient) to 1 (fast)."""
    act = math.exp(
        detection_weight * math.log(EJECT_AT_WEIGHT_1)
        + (1.0 - detection_weight) * math.log(EJECT_AT_WEIGHT_0)
    )
    support = max(LEAST_SUPPORT, act * SUPPORT_SHARE)
    return Thresholds(act, support, act * CLEAR_SHARE)
