"""Models the latencies of a service, and the evidence of one latency.

The distribution is a decaying histogram with logarithmic buckets. A slow
instance is modelled as the same distribution at half speed, that is the same
histogram shifted by one octave. The log likelihood ratio of a latency
therefore needs no assumption about the shape of the distribution.
"""

import math

MIN_LATENCY = 0.0001  # seconds; shorter latencies share the first bucket
BUCKETS_PER_OCTAVE = 4
BUCKET_COUNT = 88  # 22 octaves, up to 400 seconds
HALF_LIFE = 30.0  # seconds
MIN_WEIGHT = 30.0  # attempts in the histogram before it is used
SMOOTHING = 0.002  # share of attempts below which a bucket gives no evidence
MIN_RATIO = -1.0  # nats
MAX_RATIO = 2.0  # nats
HIGH_PERCENTILE = 0.99
# Lower bound of the 99th percentile: in a fast service a healthy instance's
# runtime may pause for this long.
MIN_P99 = 0.05  # seconds
# Evidence of an attempt as old as the 99th percentile, and of each factor of
# e beyond it. The tail is assumed to fall off like that of a lognormal
# distribution, as many services' latencies do, and not faster.
EVIDENCE_AT_P99 = 2.0  # nats
EVIDENCE_PER_E_FOLD = 5.0  # nats
MAX_AGE_EVIDENCE = 40.0  # nats

_BUCKETS_PER_E_FOLD = BUCKETS_PER_OCTAVE / math.log(2.0)


def bucket_of(latency: float) -> int:
    """Return the index of the bucket of a latency in seconds."""
    if latency <= MIN_LATENCY:
        return 0
    return min(
        BUCKET_COUNT - 1,
        int(math.log(latency / MIN_LATENCY) * _BUCKETS_PER_E_FOLD),
    )


def bucket_upper_bound(bucket: int) -> float:
    """Return the upper bound of a bucket, in seconds."""
    return MIN_LATENCY * 2.0 ** ((bucket + 1) / BUCKETS_PER_OCTAVE)


class Baseline:
    """The latency distribution of a service's healthy instances."""

    def __init__(self) -> None:
        self._weights = [0.0] * BUCKET_COUNT
        self._refreshed_at = -math.inf
        self.min_evidence_age = math.inf  # seconds
        self.ratios = [0.0] * BUCKET_COUNT
        self.expected_ratio = 0.0
        self.p99 = math.inf  # seconds; the 99th percentile once known
        self.median = math.inf  # seconds; the median once known

    @property
    def has_data(self) -> bool:
        """Return whether the histogram holds enough attempts to use."""
        return self.p99 < math.inf

    def add(self, bucket: int) -> None:
        """Count one latency of a healthy instance."""
        self._weights[bucket] += 1.0

    def halve_weights(self) -> None:
        """Halve the weights, so that new latencies replace old ones sooner.

        Used when the latency of the whole service has changed.
        """
        self._weights = [weight * 0.5 for weight in self._weights]

    def refresh(self, now: float) -> None:
        """Decay the weights and recompute the ratios and percentiles."""
        if self._refreshed_at > -math.inf:
            decay = 0.5 ** ((now - self._refreshed_at) / HALF_LIFE)
            self._weights = [weight * decay for weight in self._weights]
        self._refreshed_at = now
        total = sum(self._weights)
        if total < MIN_WEIGHT:
            return
        p99 = self._percentile(total, HIGH_PERCENTILE)
        self.p99 = max(MIN_P99, p99)
        self.min_evidence_age = self.p99 * math.exp(
            -EVIDENCE_AT_P99 / EVIDENCE_PER_E_FOLD
        )
        self.median = self._percentile(total, 0.5)
        shares = [weight / total for weight in self._weights]
        self.ratios = _log_likelihood_ratios(_smooth(shares))
        self.expected_ratio = sum(
            share * ratio
            for share, ratio in zip(shares, self.ratios, strict=True)
        )

    def age_evidence(self, age: float) -> float:
        """Return the evidence of an attempt of this age (seconds), in nats."""
        if age <= self.min_evidence_age:
            return 0.0
        nats = EVIDENCE_AT_P99 + EVIDENCE_PER_E_FOLD * math.log(age / self.p99)
        return min(MAX_AGE_EVIDENCE, nats)

    def _percentile(self, total: float, share: float) -> float:
        remaining = total * share
        for bucket, weight in enumerate(self._weights):
            remaining -= weight
            if remaining <= 0.0:
                return bucket_upper_bound(bucket)
        return bucket_upper_bound(BUCKET_COUNT - 1)


def _smooth(shares: list[float]) -> list[float]:
    padded = [0.0, *shares, 0.0]
    return [
        0.25 * padded[i - 1] + 0.5 * padded[i] + 0.25 * padded[i + 1]
        for i in range(1, len(padded) - 1)
    ]


def _log_likelihood_ratios(shares: list[float]) -> list[float]:
    """Return the non-decreasing log likelihood ratio of each bucket.

    Buckets without enough attempts take the highest ratio below them, except
    that those beyond all observed latencies get the maximum.
    """
    ratios = []
    running_max = MIN_RATIO
    for bucket, share in enumerate(shares):
        faster_bucket = bucket - BUCKETS_PER_OCTAVE
        slow_share = shares[faster_bucket] if faster_bucket >= 0 else 0.0
        if share + slow_share > SMOOTHING:
            ratio = math.log((slow_share + SMOOTHING) / (share + SMOOTHING))
            running_max = max(running_max, min(MAX_RATIO, ratio))
        elif share + slow_share <= 0.0 and _is_beyond_observed(shares, bucket):
            running_max = MAX_RATIO
        ratios.append(running_max)
    return ratios


def _is_beyond_observed(shares: list[float], bucket: int) -> bool:
    faster_bucket = max(0, bucket - BUCKETS_PER_OCTAVE)
    return not any(shares[faster_bucket:])
