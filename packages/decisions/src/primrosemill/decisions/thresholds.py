"""Derives the score thresholds from a service's detection weight."""

import math
import typing

# Scores are log likelihood ratios in nats. A sequential test with threshold
# ``h`` raises a false alarm about once in ``exp(h)`` renewals.
REMOVAL_AT_WEIGHT_0 = 24.0
REMOVAL_AT_WEIGHT_1 = 5.0
CONFIRMATION_SHARE = 0.5
# Nats. Higher than one error and one slow answer together, as these may
# coincide by chance.
MIN_CONFIRMATION = 5.0
CLEAR_SHARE = 0.25


class Thresholds(typing.NamedTuple):
    """Thresholds for the score of an instance, in nats.

    From ``removal`` on a VM removes the instance, from ``confirmation`` on it
    confirms a peer's suspicion. Below ``clear`` no VM takes the score as a
    sign of sickness.
    """

    removal: float
    confirmation: float
    clear: float


def from_weight(detection_weight: float) -> Thresholds:
    """Return the thresholds for a weight from 0 (slow) to 1 (fast)."""
    removal = math.exp(
        detection_weight * math.log(REMOVAL_AT_WEIGHT_1)
        + (1.0 - detection_weight) * math.log(REMOVAL_AT_WEIGHT_0)
    )
    confirmation = max(MIN_CONFIRMATION, removal * CONFIRMATION_SHARE)
    return Thresholds(removal, confirmation, removal * CLEAR_SHARE)
