import socket

import httpcore
import testtools
import trio
import trio.testing

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.decisions import run_permit
from primrosemill.proxy import attempts
from primrosemill.proxy import connections
from primrosemill.proxy import instance_stream
from primrosemill.proxy import replay_body
from primrosemill.proxy import sockets
from tests.builders import path as builders

RECEIVE_SIZE = 65_536  # bytes
INSTANCE = documents.Instance("res-0", builders.IP, 9, "ain-sebaa")


async def no_message():
    raise AssertionError("an absent body must not be read")


def outgoing():
    body = replay_body.ReplayBody(no_message, absent=True)
    return attempts.Outgoing(b"POST", b"/", [(b"host", b"a")], body, False, 60)


class FakePool(connections.Connections):
    """Returns a given idle connection, or opens one with a given function."""

    def __init__(self, idle=None, open_connection=None):
        super().__init__()
        self._idle = idle
        self._open = open_connection

    def take_idle(self, instance, idempotent, request_id):
        return self._idle

    async def open(self, instance):
        return await self._open()


class ConnectTest(testtools.TestCase):
    def run_attempt(self, open_connection):
        pool = FakePool(open_connection=open_connection)
        attempt = attempts.Attempt(
            pool, INSTANCE, outgoing(), lambda instance: True
        )
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(attempt.run, clock=clock)

    def test_a_connect_timeout_is_not_run(self):
        self.assertEqual(
            outcomes.NotRun(outcomes.NotRunReason.CONNECT_TIMEOUT),
            self.run_attempt(trio.sleep_forever),
        )

    def test_an_unreachable_host_is_not_run(self):
        async def fail():
            raise OSError(113, "no route to host")

        self.assertEqual(
            outcomes.NotRun(outcomes.NotRunReason.CONNECT_FAILED),
            self.run_attempt(fail),
        )


class PermitTest(testtools.TestCase):
    """Guards against an attempt that runs a request after its refusal."""

    def run_attempt(self, permit):
        """Return the result of an attempt, and what its instance got."""
        results = []

        async def main():
            with socket.create_server((builders.IP, 0)) as listener:
                client = socket.create_connection(listener.getsockname())
                served, _ = listener.accept()
            stream = instance_stream.InstanceStream(sockets.Socket(client))
            http = connections.HttpConnection(
                httpcore.Origin(b"http", b"127.0.0.1", 9), stream
            )
            attempt = attempts.Attempt(
                FakePool(connections.Connection(http, stream)),
                INSTANCE,
                outgoing()._replace(deadline=trio.current_time() + 60),
                lambda instance: True,
                permit,
            )
            with trio.move_on_after(0.1):
                results.append(await attempt.run())
            results.append(permit.refuse())
            await attempt.close()
            results.append(served.recv(RECEIVE_SIZE))
            served.close()

        trio.run(main)
        return results

    def test_a_refused_request_is_not_sent(self):
        permit = run_permit.RunPermit()
        permit.refuse()
        result, _, received = self.run_attempt(permit)
        self.assertIsInstance(result, outcomes.NotRun)
        self.assertEqual(b"", received)

    def test_a_request_that_was_sent_is_not_refused(self):
        permit = run_permit.RunPermit()
        refused, received = self.run_attempt(permit)
        self.assertFalse(refused)
        self.assertIn(b"POST", received)
        self.assertFalse(permit.refuse())


class BrokenConnectionTest(testtools.TestCase):
    def test_a_connection_that_accepted_no_byte_is_not_run(self):
        trio.run(self._check)

    async def _check(self):
        with socket.create_server((builders.IP, 0)) as listener:
            client_socket = socket.create_connection(listener.getsockname())
            server_socket = sockets.Socket(listener.accept()[0])
            server_socket.reset()
        stream = instance_stream.InstanceStream(sockets.Socket(client_socket))
        while not stream.is_readable():
            await trio.lowlevel.checkpoint()
        http = connections.HttpConnection(
            httpcore.Origin(b"http", b"127.0.0.1", 9), stream
        )
        pool = FakePool(connections.Connection(http, stream))
        request = outgoing()._replace(deadline=trio.current_time() + 60)
        attempt = attempts.Attempt(
            pool, INSTANCE, request, lambda instance: True
        )
        self.assertEqual(
            outcomes.NotRun(outcomes.NotRunReason.CLOSED_UNSENT),
            await attempt.run(),
        )
        self.assertFalse(attempt.maybe_ran)
        await attempt.close()
