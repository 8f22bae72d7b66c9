"""Checks whether a request that has waited may still start."""

import typing

from primrosemill.configuration import document as documents
from primrosemill.proxy import request_policies

# A request that starts later than this after it got its token takes another
# one. Requests that wait together for an instance would else all start in one
# window, beside those that the cap allows then.
MAX_START_DELAY = 1.0  # seconds


class StartCheck:
    """Checks one request before its first attempt starts.

    ``recheck_key`` tells why its key does not hold any more; ``take_token``
    takes a token of the customer at once, or tells why there is none.
    """

    def __init__(
        self,
        customer: documents.Customer,
        recheck_key: request_policies.Recheck,
        take_token: typing.Callable[
            [documents.Customer], request_policies.Refused | None
        ],
        clock: typing.Callable[[], float],
    ) -> None:
        self._customer = customer
        self._recheck_key = recheck_key
        self._take_token = take_token
        self._clock = clock
        self._admitted_at = clock()
        self._started = False
        self._refused: request_policies.Refused | None = None

    def __call__(self) -> request_policies.Refused | None:
        """Return why the request must not start, or None.

        Further attempts count with the first one.
        """
        refused = self._refused or self._recheck_key()
        if refused is not None or self._started:
            return refused
        if self._clock() - self._admitted_at > MAX_START_DELAY:
            self._refused = self._take_token(self._customer)
        self._started = self._refused is None
        return self._refused
