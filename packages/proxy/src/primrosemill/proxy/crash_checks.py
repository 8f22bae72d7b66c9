"""Finds out whether an instance that did not answer has crashed."""

import enum

import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import connections
from primrosemill.proxy import instance_stream

# The repeat of a request waits for the check, so it is short; a later sign
# may still tell.
CHECK_TIMEOUT = 0.1  # seconds
# A process that is ending may still accept connections, or reset them, until
# its listening socket is closed.
SETTLE_TIME = 0.02  # seconds


class Sign(enum.StrEnum):
    """What an instance did after an attempt that it did not answer."""

    REFUSED = "refused"  # Its address refuses connections.
    ACCEPTED = "accepted"  # It accepts connections, so it has not crashed.
    UNDECIDED = "undecided"  # No connection could be opened in time.
    LEAVING = "leaving"  # It was known to leave, or has left.
    NOT_CHECKED = "not_checked"  # The request had ended.


async def check(
    pool: connections.Connections, instance: documents.Instance
) -> Sign:
    """Open a connection to an instance, which is kept for later requests."""
    with trio.move_on_after(CHECK_TIMEOUT):
        while True:
            try:
                connection = await pool.open(instance)
            except OSError as error:
                if instance_stream.is_connection_refused(error):
                    return Sign.REFUSED
                await trio.sleep(SETTLE_TIME)
                continue
            try:
                await trio.sleep(SETTLE_TIME)
            except trio.Cancelled:
                connection.stream.close()
                raise
            if connection.stream.is_readable():
                connection.stream.close()
                continue
            pool.put_new(instance, connection)
            return Sign.ACCEPTED
    return Sign.UNDECIDED
