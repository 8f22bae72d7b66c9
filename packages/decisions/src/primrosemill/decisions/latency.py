"""Learns a service's usual latency and weighs single latencies by it.

The distribution is a decaying histogram with logarithmic buckets. A sick
instance is modelled as the same distribution at half speed, which is the
same histogram moved by one octave, so the log likelihood ratio of a latency
needs no assumption on the shape of the distribution.
"""

import math

LOWEST = 0.0001  # seconds; shorter latencies share the first bucket.
BUCKETS_PER_OCTAVE = 4
BUCKETS = 88  # 22 octaves, up to 400 seconds.
HALF_LIFE = 30.0  # seconds
MIN_WEIGHT = 30.0  # attempts behind the histogram before it judges.
SMOOTHING = 0.002  # share of mass below which a bucket says nothing.
LOWEST_RATIO = -1.0  # nats
HIGHEST_RATIO = 2.0  # nats
HIGH_PERCENTILE = 0.99
# A pause of a healthy instance's runtime is as long in a fast service.
HIGH_FLOOR = 0.05  # seconds
# An age at the 99th percentile, and each e-fold beyond it. The tail is taken
# to fall off like a lognormal one, which many services show, and not faster.
AGE_AT_HIGH = 2.0  # nats
AGE_SLOPE = 5.0  # nats
AGE_CAP = 40.0  # nats

_SCALE = BUCKETS_PER_OCTAVE / math.log(2.0)


def bucket_of(latency: float) -> int:
    """Return the bucket of a latency in seconds."""
    if latency <= LOWEST:
        return 0
    return min(BUCKETS - 1, int(math.log(latency / LOWEST) * _SCALE))


def upper_edge(bucket: int) -> float:
    """Return the upper end of a bucket in seconds."""
    return LOWEST * 2.0 ** ((bucket + 1) / BUCKETS_PER_OCTAVE)


class Baseline:
    """Holds the latencies that the healthy instances of a service show."""

    def __init__(self) -> None:
        self._weights = [0.0] * BUCKETS
        self._refreshed = -math.inf
        self.no_evidence_before = math.inf  # seconds
        self.ratios = [0.0] * BUCKETS
        self.expected_ratio = 0.0
        self.high = math.inf  # seconds; the 99th percentile once known.
        self.usual = math.inf  # seconds; the median once known.

    @property
    def known(self) -> bool:
        """Tell whether enough was seen to judge by."""
        return self.high < math.inf

    def add(self, bucket: int) -> None:
        """Count one latency of a healthy instance."""
        self._weights[bucket] += 1.0

    def forget(self) -> None:
        """Let a new level of the whole service replace the old one soon."""
        self._weights = [weight * 0.5 for weight in self._weights]

    def refresh(self, now: float) -> None:
        """Age the counts and work out the ratios anew."""
        if self._refreshed > -math.inf:
            kept = 0.5 ** ((now - self._refreshed) / HALF_LIFE)
            self._weights = [weight * kept for weight in self._weights]
        self._refreshed = now
        total = sum(self._weights)
        if total < MIN_WEIGHT:
            return
        high = self._percentile(total, HIGH_PERCENTILE)
        self.high = max(HIGH_FLOOR, high)
        self.no_evidence_before = self.high * math.exp(
            -AGE_AT_HIGH / AGE_SLOPE
        )
        self.usual = self._percentile(total, 0.5)
        shares = [weight / total for weight in self._weights]
        self.ratios = _ratios(_smooth(shares))
        self.expected_ratio = sum(
            share * ratio
            for share, ratio in zip(shares, self.ratios, strict=True)
        )

    def weigh_age(self, age: float) -> float:
        """Return the evidence of an attempt unanswered for ``age`` s."""
        if age <= self.no_evidence_before:
            return 0.0
        nats = AGE_AT_HIGH + AGE_SLOPE * math.log(age / self.high)
        return min(AGE_CAP, nats)

    def _percentile(self, total: float, share: float) -> float:
        left = total * share
        for bucket, weight in enumerate(self._weights):
            left -= weight
            if left <= 0.0:
                return upper_edge(bucket)
        return upper_edge(BUCKETS - 1)


def _smooth(shares: list[float]) -> list[float]:
    padded = [0.0, *shares, 0.0]
    return [
        0.25 * padded[i - 1] + 0.5 * padded[i] + 0.25 * padded[i + 1]
        for i in range(1, len(padded) - 1)
    ]


def _ratios(healthy: list[float]) -> list[float]:
    """Return the log likelihood ratio of each bucket, never decreasing."""
    ratios = []
    highest = LOWEST_RATIO
    for bucket, share in enumerate(healthy):
        source = bucket - BUCKETS_PER_OCTAVE
        slow = healthy[source] if source >= 0 else 0.0
        if share + slow > SMOOTHING:
            ratio = math.log((slow + SMOOTHING) / (share + SMOOTHING))
            highest = max(highest, min(HIGHEST_RATIO, ratio))
        elif share + slow <= 0.0 and _beyond(healthy, bucket):
            highest = HIGHEST_RATIO
        ratios.append(highest)
    return ratios


def _beyond(healthy: list[float], bucket: int) -> bool:
    source = max(0, bucket - BUCKETS_PER_OCTAVE)
    return not any(healthy[source:])
