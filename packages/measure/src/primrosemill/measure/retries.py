"""Measures attempts and successes per request while instances fail.

The retry policy is compared with naive retries, which make up to four attempts
whatever the failure is, in the same run and with the same seeds.
"""

import random
import typing

import click

from primrosemill.decisions import outcomes
from primrosemill.decisions import retries as policy
from primrosemill.decisions import retry_budget

RATE = 140.0  # requests a second
DEADLINE = 10.0  # seconds
MAX_NAIVE_ATTEMPTS = 4  # per request
CLOSED = outcomes.Unknown(outcomes.UnknownReason.CLOSED)
REFUSED = outcomes.NotRun(outcomes.NotRunReason.CONNECT_REFUSED)
SHED = outcomes.NotRun(outcomes.NotRunReason.SHED)


class Failure(typing.NamedTuple):
    """How instances fail: the share of failing attempts, and their outcome."""

    share: float
    outcome: outcomes.NotRun | outcomes.Unknown


FAILURES: typing.Final[dict[str, Failure]] = {
    "none": Failure(0.0, CLOSED),
    "1 in 100 closes": Failure(0.01, CLOSED),
    "1 in 10 closes": Failure(0.1, CLOSED),
    "half refuse": Failure(0.5, REFUSED),
    "all close": Failure(1.0, CLOSED),
    "all refuse": Failure(1.0, REFUSED),
    "all shed": Failure(1.0, SHED),
}


class Result(typing.NamedTuple):
    """Counts of one run."""

    requests: int
    attempts: int
    answered: int


class _RequestResult(typing.NamedTuple):
    """The attempts of one request, and whether it was answered."""

    attempts: int
    answered: bool


def run_policy(failure: Failure, requests: int, seed: int) -> Result:
    """Run requests through the retry policy."""
    generator = random.Random(seed)
    budget = retry_budget.RetryBudget()
    attempts = 0
    answered = 0
    for number in range(requests):
        budget.earn()
        result = _run_request(failure, budget, number / RATE, generator)
        attempts += result.attempts
        answered += result.answered
    return Result(requests, attempts, answered)


def _run_request(
    failure: Failure,
    budget: retry_budget.RetryBudget,
    now: float,
    generator: random.Random,
) -> _RequestResult:
    request = policy.Request(idempotent=True, deadline=now + DEADLINE)
    history = policy.History()
    while True:
        if generator.random() >= failure.share:
            return _RequestResult(history.attempts + 1, True)
        history = policy.add_attempt(history, failure.outcome)
        decision = policy.decide(request, history, budget, now)
        while isinstance(decision, policy.WaitForBudget):
            now += decision.pause
            decision = policy.decide(request, history, budget, now)
        if not isinstance(decision, policy.Retry):
            return _RequestResult(history.attempts, False)
        now += decision.pause


def run_naive(failure: Failure, requests: int, seed: int) -> Result:
    """Run requests, each with up to a fixed number of attempts."""
    generator = random.Random(seed)
    attempts = 0
    answered = 0
    for _ in range(requests):
        for _ in range(MAX_NAIVE_ATTEMPTS):
            attempts += 1
            if generator.random() >= failure.share:
                answered += 1
                break
    return Result(requests, attempts, answered)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--requests", default=100_000, show_default=True)
def main(seed: int, requests: int) -> None:
    """Measure attempts for each request while instances fail."""
    click.echo(
        "| failing attempts | way | attempts for each request | answered |"
    )
    click.echo("| --- | --- | --- | --- |")
    strategies = {"naive": run_naive, "budget": run_policy}
    for name, failure in FAILURES.items():
        for label, strategy in strategies.items():
            result = strategy(failure, requests, seed)
            mean_attempts = result.attempts / result.requests
            share = result.answered / result.requests
            click.echo(
                f"| {name} | {label} | {mean_attempts:.3f} | {share:.2%} |"
            )
