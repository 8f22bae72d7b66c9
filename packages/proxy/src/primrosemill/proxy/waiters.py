"""Lets the task of a request wait for a slot or a refusal."""

import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import plugs

Grant = documents.Instance | plugs.Refused


class Waiter:
    """A queued task and the result of its wait; None until it is known."""

    def __init__(self) -> None:
        self.told = trio.Event()
        self.grant: Grant | None = None

    def tell(self, grant: Grant) -> None:
        """Set the result and end the wait."""
        self.grant = grant
        self.told.set()
