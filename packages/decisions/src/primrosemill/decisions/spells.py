"""Models an instance that is well or in a spell of errors.

A hidden Markov model of two states: at a well instance few requests fail, in
a spell most do, and spells begin and end at constant rates. Each answer moves
the probability of a spell by Bayes' rule and time moves it back to what is
usual (the forward algorithm; Rabiner 1989). Times are in seconds.
"""

import math
import typing

# Keeps a probability in the open interval, so that no evidence is final.
LEAST_PROBABILITY = 1e-4
# A longer gap between two answers may hide a whole spell, so it tells
# nothing about how often they begin and end.
LONGEST_LEARNT_GAP = 5.0  # seconds
LIKELY = 0.5  # probability above which an instance counts as in a spell
SMALL = 1e-6  # below it a rate is as good as constant over a gap
# What is learned weighs at most so many times the prior; older evidence fades
# beyond that, as services change with their releases.
MOST_LEARNT = 20.0


class Rates(typing.NamedTuple):
    """How instances of a service fail.

    ``ordinary`` and ``in_spell`` are shares of the requests that fail;
    ``onset`` and ``end`` are spells that begin at a well instance, and that
    end, a second.
    """

    ordinary: float
    in_spell: float
    onset: float
    end: float

    @property
    def usual(self) -> float:
        """Return the share of time that an instance spends in spells."""
        return self.onset / (self.onset + self.end)


class _Prior(typing.NamedTuple):
    """What is assumed of a rate: its events in so much exposure.

    Exposure is in requests for a share and in seconds for a rate.
    """

    events: float
    exposure: float
    least: float
    most: float


# The brief names spells of gray failure that last some seconds and come to
# an instance a few times in a quarter of an hour, beside an error in a
# hundred answers; the bounds keep an odd day from turning the model over.
ORDINARY = _Prior(2.0, 200.0, 0.001, 0.1)
IN_SPELL = _Prior(16.0, 20.0, 0.5, 0.98)
ONSET = _Prior(2.0, 80.0, 1.0 / 600.0, 0.1)
END = _Prior(4.0, 20.0, 0.05, 1.0)


class _Learnt:
    """A rate that starts at its prior and follows what is seen."""

    __slots__ = ("_events", "_exposure", "_prior", "value")

    def __init__(self, prior: _Prior) -> None:
        self._prior = prior
        self._events = prior.events
        self._exposure = prior.exposure
        self.value = prior.events / prior.exposure

    def note(self, events: float, exposure: float) -> None:
        """Count the expected events in some exposure."""
        prior = self._prior
        self._events += events
        self._exposure += exposure
        excess = self._exposure / (MOST_LEARNT * prior.exposure)
        if excess > 1.0:
            self._events /= excess
            self._exposure /= excess
        rate = self._events / self._exposure
        self.value = min(prior.most, max(prior.least, rate))


class Learner:
    """Learns the rates of one service from the answers of its instances."""

    def __init__(self) -> None:
        self._ordinary = _Learnt(ORDINARY)
        self._in_spell = _Learnt(IN_SPELL)
        self._onset = _Learnt(ONSET)
        self._end = _Learnt(END)
        self.rates = self._read()

    def note(
        self, before: float, after: float, failed: bool, gap: float
    ) -> None:
        """Take one answer of an instance, ``gap`` seconds after another.

        ``before`` and ``after`` are the probabilities of a spell after each
        of the two.
        """
        well = 1.0 - after
        self._ordinary.note(well if failed else 0.0, well)
        self._in_spell.note(after if failed else 0.0, after)
        if gap <= LONGEST_LEARNT_GAP:
            was_spell, is_spell = before > LIKELY, after > LIKELY
            change = self._end if was_spell else self._onset
            if was_spell is is_spell:
                change.note(0.0, gap)
            else:
                change.note(1.0, _expected_time(change.value, gap))
        self.rates = self._read()

    def _read(self) -> Rates:
        return Rates(
            self._ordinary.value,
            self._in_spell.value,
            self._onset.value,
            self._end.value,
        )


def later(spell: float, gap: float, rates: Rates) -> float:
    """Return the probability of a spell some time after it was known."""
    if gap <= 0.0:
        return spell
    usual = rates.usual
    kept = math.exp(-(rates.onset + rates.end) * gap)
    return usual + (spell - usual) * kept


def weigh(spell: float, failed: bool, rates: Rates) -> float:
    """Return the probability of a spell after an answer, from before it."""
    if failed:
        if_well, if_spell = rates.ordinary, rates.in_spell
    else:
        if_well, if_spell = 1.0 - rates.ordinary, 1.0 - rates.in_spell
    well = (1.0 - spell) * if_well
    in_spell = spell * if_spell
    return bounded(in_spell / (well + in_spell))


def bounded(probability: float) -> float:
    """Keep a probability away from 0 and 1."""
    return min(1.0 - LEAST_PROBABILITY, max(LEAST_PROBABILITY, probability))


def _expected_time(rate: float, gap: float) -> float:
    """Return when a change at a rate came that is known to be in a gap."""
    if rate * gap < SMALL:
        return gap / 2.0
    return 1.0 / rate - gap / math.expm1(rate * gap)


def chance(spell: float, rates: Rates) -> float:
    """Return the probability that the next request succeeds."""
    return 1.0 - rates.ordinary - spell * (rates.in_spell - rates.ordinary)
