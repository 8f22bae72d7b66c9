import testtools
import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import connections


class IdleHttp:
    """Has answered its last request whole."""

    def is_reusable(self):
        return True


class OpenStream:
    """Is open and has nothing to read."""

    def is_readable(self):
        return False

    def close(self):
        pass


class ConnectionsTest(testtools.TestCase):
    def test_instances_of_one_id_do_not_share_connections(self):
        """Ids are unique within a service; two services may use one id."""

        async def check():
            await trio.lowlevel.checkpoint()
            first = documents.Instance("i-1", "127.0.0.1", 1, "hay-riad")
            second = first._replace(port=2)
            pool = connections.Connections()
            kept = connections.Connection(IdleHttp(), OpenStream())
            pool.put_back(first, kept)
            self.assertIsNone(pool.take_idle(second, idempotent=True))
            self.assertIs(kept, pool.take_idle(first, idempotent=True))

        trio.run(check)
