"""Bounds what the process holds for its callers."""

from primrosemill.proxy.memory import account
from primrosemill.proxy.memory import eviction
from primrosemill.proxy.memory import heavy_work
from primrosemill.proxy.memory import large_transfers
from primrosemill.proxy.memory import link_share
from primrosemill.proxy.memory import sizes

__all__ = (
    "account",
    "eviction",
    "heavy_work",
    "large_transfers",
    "link_share",
    "sizes",
)
