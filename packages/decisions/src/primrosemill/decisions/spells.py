"""A model of instances that are healthy or in a spell of errors.

It is a hidden Markov model with two states: a healthy instance fails few
requests, one in a spell fails most, and spells begin and end at constant
rates. The probability of a spell is updated with each answer by Bayes' rule,
and between answers it returns to its stationary value (the forward
algorithm; Rabiner 1989). Times are in seconds.
"""

import math
import typing

# Probabilities stay this far from 0 and 1, so that no evidence is final.
MIN_PROBABILITY = 1e-4
# A longer gap between two answers may contain a whole spell, so the rates at
# which spells begin and end are not learned from it.
MAX_LEARNED_GAP = 5.0  # seconds
SPELL_THRESHOLD = 0.5  # probability above which an instance is in a spell
# Below this product of rate and gap, the time of a transition is taken to be
# uniform in the gap.
NEGLIGIBLE_CHANGE = 1e-6
# Learned evidence weighs at most this many times the prior; older evidence
# is scaled down, as services change with their releases.
MAX_LEARNED_WEIGHT = 20.0


class Rates(typing.NamedTuple):
    """The parameters of the model for one service.

    ``baseline`` and ``in_spell`` are the shares of requests that fail at a
    healthy instance and in a spell. ``onset`` and ``end`` are the rates per
    second at which a spell begins at a healthy instance and ends.
    """

    baseline: float
    in_spell: float
    onset: float
    end: float

    @property
    def stationary(self) -> float:
        """Return the stationary probability of a spell."""
        return self.onset / (self.onset + self.end)


class _Prior(typing.NamedTuple):
    """The prior of a rate: events per exposure, and the rate's bounds.

    Exposure is in requests for a share and in seconds for a rate.
    """

    events: float
    exposure: float
    minimum: float
    maximum: float


# Spells of gray failure are expected to last some seconds and to occur at an
# instance a few times in a quarter of an hour, besides one error in a hundred
# answers. The bounds limit how far unusual data can move the rates.
BASELINE = _Prior(2.0, 200.0, 0.001, 0.1)
IN_SPELL = _Prior(16.0, 20.0, 0.5, 0.98)
ONSET = _Prior(2.0, 80.0, 1.0 / 600.0, 0.1)
END = _Prior(4.0, 20.0, 0.05, 1.0)


class _RateEstimate:
    """An estimate of a rate that starts at its prior."""

    __slots__ = ("_events", "_exposure", "_prior", "value")

    def __init__(self, prior: _Prior) -> None:
        self._prior = prior
        self._events = prior.events
        self._exposure = prior.exposure
        self.value = prior.events / prior.exposure

    def add(self, events: float, exposure: float) -> None:
        """Add the expected number of events in some exposure."""
        prior = self._prior
        self._events += events
        self._exposure += exposure
        excess = self._exposure / (MAX_LEARNED_WEIGHT * prior.exposure)
        if excess > 1.0:
            self._events /= excess
            self._exposure /= excess
        rate = self._events / self._exposure
        self.value = min(prior.maximum, max(prior.minimum, rate))


class Learner:
    """Estimates a service's rates from the answers of its instances."""

    def __init__(self) -> None:
        self._baseline = _RateEstimate(BASELINE)
        self._in_spell = _RateEstimate(IN_SPELL)
        self._onset = _RateEstimate(ONSET)
        self._end = _RateEstimate(END)
        self.rates = self._current_rates()

    def learn(
        self, before: float, after: float, failed: bool, gap: float
    ) -> None:
        """Learn from an answer ``gap`` seconds after the previous one.

        ``before`` and ``after`` are the probabilities of a spell after the
        previous answer and after this one.
        """
        healthy = 1.0 - after
        self._baseline.add(healthy if failed else 0.0, healthy)
        self._in_spell.add(after if failed else 0.0, after)
        if gap <= MAX_LEARNED_GAP:
            was_in_spell, is_in_spell = (
                before > SPELL_THRESHOLD,
                after > SPELL_THRESHOLD,
            )
            transition = self._end if was_in_spell else self._onset
            if was_in_spell is is_in_spell:
                transition.add(0.0, gap)
            else:
                transition.add(
                    1.0, _expected_transition_time(transition.value, gap)
                )
        self.rates = self._current_rates()

    def _current_rates(self) -> Rates:
        return Rates(
            self._baseline.value,
            self._in_spell.value,
            self._onset.value,
            self._end.value,
        )


def predict(spell_probability: float, gap: float, rates: Rates) -> float:
    """Return the probability of a spell ``gap`` seconds later."""
    if gap <= 0.0:
        return spell_probability
    stationary = rates.stationary
    decay = math.exp(-(rates.onset + rates.end) * gap)
    return stationary + (spell_probability - stationary) * decay


def update(spell_probability: float, failed: bool, rates: Rates) -> float:
    """Return the probability of a spell given an answer's outcome."""
    if failed:
        given_healthy, given_spell = rates.baseline, rates.in_spell
    else:
        given_healthy, given_spell = 1.0 - rates.baseline, 1.0 - rates.in_spell
    healthy = (1.0 - spell_probability) * given_healthy
    in_spell = spell_probability * given_spell
    return clamp(in_spell / (healthy + in_spell))


def clamp(probability: float) -> float:
    """Return a probability clamped away from 0 and 1."""
    return min(1.0 - MIN_PROBABILITY, max(MIN_PROBABILITY, probability))


def _expected_transition_time(rate: float, gap: float) -> float:
    """Return the mean time of a transition that occurred within a gap."""
    if rate * gap < NEGLIGIBLE_CHANGE:
        return gap / 2.0
    return 1.0 / rate - gap / math.expm1(rate * gap)


def chance(spell_probability: float, rates: Rates) -> float:
    """Return the probability that the next request succeeds."""
    return (
        1.0
        - rates.baseline
        - spell_probability * (rates.in_spell - rates.baseline)
    )
