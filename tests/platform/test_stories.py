"""Faults that operators of similar systems told of; docs/proof.md."""

import testtools
import trio

from primrosemill.standins import users_instance
from tests.builders import answers
from tests.builders import pipelines
from tests.builders import users_platform as builders

Manner = users_instance.Manner


class LateCopyTest(testtools.TestCase):
    """A second copy of an answer, late, on a connection in use again."""

    def check_late(self, copy, expected):
        async def check(built):
            (only,) = built.instances
            only.late_copy = copy
            first = await builders.call(
                built, builders.ONCE_PATH, "r1", method="POST"
            )
            self.assertEqual(200, first.status)
            second = await builders.call(
                built, builders.ONCE_PATH, "r2", method="POST"
            )
            self.assertEqual(expected, second.status)
            signature = answers.header(second, "primrosemill-server-signature")
            self.assertIsNone(signature)
            ids = pipelines.ids_run(built)
            self.assertEqual(len(set(ids)), len(ids))

        builders.run(check, count=1)

    def test_of_a_success(self):
        self.check_late(
            b"HTTP/1.1 200 OK\r\nprimrosemill-request-id: r1\r\n"
            b"primrosemill-server-signature: late\r\n"
            b"content-length: 4\r\n\r\nlate",
            502,
        )

    def test_of_a_failure_that_names_no_request(self):
        self.check_late(
            b"HTTP/1.1 500 Error\r\nprimrosemill-server-signature: late\r\n"
            b"content-length: 4\r\n\r\nlate",
            502,
        )

    def test_of_a_refusal_that_names_no_request(self):
        """Taken for the answer it would say not run, while it runs."""
        self.check_late(
            b"HTTP/1.1 503 Full\r\nprimrosemill-not-executed: 1\r\n"
            b"content-length: 0\r\n\r\n",
            502,
        )


class DamagedMessageTest(testtools.TestCase):
    """One malformed message takes no process down."""

    def test_garbage_on_every_port_leaves_the_vm_serving(self):
        async def check(built):
            settings = built.settings
            for address in (
                settings.caller_address,
                settings.ready_address,
                settings.directory_address,
                settings.admin_address,
                settings.peer_address,
            ):
                ip, _, port = address.rpartition(":")
                for garbage in (b"\x00" * 64, b"\r\n" * 9, b"\xff" * 4_000):
                    try:
                        stream = await trio.open_tcp_stream(ip, int(port))
                        async with stream:
                            await stream.send_all(garbage)
                    except OSError:
                        continue
                    await self._send_datagram(ip, int(port), garbage)
            await trio.sleep(0.1)
            response = await builders.call(built, builders.READ_PATH)
            self.assertEqual(200, response.status)

        builders.run(check)

    async def _send_datagram(self, ip, port, data):
        with trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        ) as sock:
            await sock.sendto(data[:1_000], (ip, port))

    def test_damaged_entries_of_the_feed_leave_the_others_in_use(self):
        async def check(built):
            for number, value in enumerate((b"", b"\xff\xfe", b"[]", b"{")):
                built.store.put(f"servers/bad-{number}", value)
            built.store.put("op/config", b"\x00 no configuration")
            await trio.sleep(0.5)
            response = await builders.call(built, builders.READ_PATH)
            self.assertEqual(200, response.status)

        builders.run(check)
