"""Lets the task of a request wait until it is told what it gets."""

import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import plugs

Grant = documents.Instance | plugs.Refused


class Waiter:
    """A task in a queue, and what it was told."""

    def __init__(self) -> None:
        self.told = trio.Event()
        self.grant: Grant | None = None

    def tell(self, grant: Grant) -> None:
        """End the wait."""
        self.grant = grant
        self.told.set()
