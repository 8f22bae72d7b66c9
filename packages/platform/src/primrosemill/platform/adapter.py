"""Creates the adapter with which an entry VM runs on the platform."""

from primrosemill.platform import endpoints
from primrosemill.platform import headers
from primrosemill.platform import store
from primrosemill.proxy import adapters


def make_adapter(store_address: str) -> adapters.Adapter:
    """Return an adapter whose feed is the store at the given address."""
    return adapters.Adapter(
        store.Store(store_address),
        headers.DIALECT,
        endpoints.answer_directions,
        endpoints.answer_readiness,
    )
