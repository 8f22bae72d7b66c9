"""Makes the adapter that an entry VM on the platform runs with."""

from primrosemill.platform import endpoints
from primrosemill.platform import headers
from primrosemill.platform import store
from primrosemill.proxy import adapters


def make(store_address: str) -> adapters.Adapter:
    """Return an adapter that reads the store at an address."""
    return adapters.Adapter(
        store.Store(store_address),
        headers.DIALECT,
        endpoints.answer_directions,
        endpoints.answer_readiness,
    )
