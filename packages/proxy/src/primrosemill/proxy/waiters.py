"""Lets the task of a request wait for a slot or a refusal."""

import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import request_policies

WaitResult = documents.Instance | request_policies.Refused


class Waiter:
    """A queued task and the result of its wait; None until it is known."""

    def __init__(self) -> None:
        self.resolved = trio.Event()
        self.result: WaitResult | None = None

    def resolve(self, result: WaitResult) -> None:
        """Set the result and end the wait."""
        self.result = result
        self.resolved.set()
