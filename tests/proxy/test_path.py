import random

import httpcore
import testtools
import trio

from primrosemill.proxy import daemon
from primrosemill.proxy import settings
from primrosemill.standins import asgi
from primrosemill.standins import instance
from primrosemill.standins import platform
from tests.builders import configuration as builders


class PathTest(testtools.TestCase):
    def test_a_request_is_relayed_from_end_to_end(self):
        trio.run(self._send_one)

    async def _send_one(self):
        async with trio.open_nursery() as nursery:
            backend = instance.InstanceStandin("res-0", 3, 0.0)
            instance_server = await nursery.start(
                asgi.serve, backend, "127.0.0.1"
            )
            store = platform.PlatformStandin()
            store.publish(
                builders.published(
                    builders.service_value(
                        instances=[
                            builders.instance_value(
                                0, address=instance_server.address
                            )
                        ],
                        floor=1,
                    )
                )
            )
            store_server = await nursery.start(asgi.serve, store, "127.0.0.1")
            vm = daemon.Daemon(
                settings.Settings(
                    "atlas",
                    "vm-0",
                    "127.0.0.1",
                    "ain-sebaa",
                    store_server.address,
                    0,
                    0,
                    0,
                ),
                random.Random(1),
            )
            ports = await nursery.start(vm.run)
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "GET",
                    f"http://127.0.0.1:{ports.caller_port}/slots/today",
                    headers={"x-request-id": "r1"},
                )
            self.assertEqual(b"r1 res-0", response.content)
            self.assertEqual({"r1": 1}, backend.runs_by_tag)
            nursery.cancel_scope.cancel()
