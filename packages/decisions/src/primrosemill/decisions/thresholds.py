"""Derives the score thresholds from a service's detection weight."""

import math
import typing

# Scores are log likelihood ratios in nats. A sequential test with threshold
# ``h`` raises a false alarm about once in ``exp(h)`` renewals.
ACT_AT_WEIGHT_0 = 24.0
ACT_AT_WEIGHT_1 = 5.0
SUPPORT_SHARE = 0.5
# Nats. One error and one slow answer may coincide by chance, and must not
# reach it together.
MIN_SUPPORT = 5.0
CLEAR_SHARE = 0.25


class Thresholds(typing.NamedTuple):
    """The scores at which a VM acts, in nats.

    From ``act`` on a VM removes an instance, from ``support`` on it confirms
    a peer's suspicion. Below ``clear`` no VM takes the score as a sign of
    sickness.
    """

    act: float
    support: float
    clear: float


def from_weight(detection_weight: float) -> Thresholds:
    """Return the thresholds for a weight from 0 (slow) to 1 (fast)."""
    act = math.exp(
        detection_weight * math.log(ACT_AT_WEIGHT_1)
        + (1.0 - detection_weight) * math.log(ACT_AT_WEIGHT_0)
    )
    support = max(MIN_SUPPORT, act * SUPPORT_SHARE)
    return Thresholds(act, support, act * CLEAR_SHARE)
