import functools
import os
import random
import signal

import httpcore
import msgspec
import testtools
import trio

from primrosemill.proxy import daemon
from primrosemill.proxy import settings
from primrosemill.proxy import status
from primrosemill.standins import asgi
from primrosemill.standins import instance
from primrosemill.standins import platform
from tests.builders import configuration
from tests.builders import path as builders

LIFETIME = 0.3  # seconds


class WatchedInstance(instance.InstanceStandin):
    """Sets an event when a request has arrived."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.request_received = trio.Event()

    async def __call__(self, scope, receive, send):
        self.request_received.set()
        await super().__call__(scope, receive, send)


async def wait_until_leaving(vm):
    while vm.read_status()["state"] != status.VmState.LEAVING:
        await trio.sleep(0.01)


class DaemonCase(testtools.TestCase):
    def run_with(self, check, service_time=0.0, stop_seconds=60.0):
        trio.run(
            functools.partial(self._run, check, service_time, stop_seconds)
        )

    async def _run(self, check, service_time, stop_seconds):
        async with trio.open_nursery() as nursery:
            self.backend = WatchedInstance("res-0", 3, service_time)
            addresses = await builders.start_standins(nursery, [self.backend])
            store = platform.PlatformStandin()
            value = configuration.instance_value(0, address=addresses[0])
            service = configuration.service_value(instances=[value], floor=1)
            store.publish(configuration.published(service))
            server = await nursery.start(asgi.serve, store, builders.IP)
            vm = daemon.Daemon(
                settings.Settings(
                    configuration.FLEET,
                    "vm-0",
                    builders.IP,
                    configuration.DOMAINS[0],
                    server.address,
                    0,
                    0,
                    0,
                )._replace(stop_seconds=stop_seconds),
                random.Random(1),
                answer_lifetime=LIFETIME,
            )
            with trio.fail_after(20):
                await check(vm, nursery)
            nursery.cancel_scope.cancel()

    async def get(self, port, target, tag="r1"):
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "GET",
                f"http://{builders.IP}:{port}{target}",
                headers={"x-request-id": tag},
            )


class StopTest(DaemonCase):
    def test_requests_finish_and_are_accepted_for_a_time_after_a_signal(self):
        async def check(vm, nursery):
            ports = await nursery.start(vm.run_until_signalled)
            answers = []

            async def call(tag):
                answers.append(
                    await self.get(ports.caller_port, "/slots", tag)
                )

            async with trio.open_nursery() as call_nursery:
                call_nursery.start_soon(call, "before")
                await self.backend.request_received.wait()
                os.kill(os.getpid(), signal.SIGTERM)
                await wait_until_leaving(vm)
                call_nursery.start_soon(call, "during")
                ready = await self.get(ports.admin_port, "/ready")
                self.assertEqual(503, ready.status)
            self.assertEqual([200, 200], [each.status for each in answers])
            await wait_until_refused(ports.caller_port)

        self.run_with(check, service_time=0.2)
        self.assertEqual(2, len(self.backend.runs))

    def test_requests_that_wait_are_refused_before_the_vm_ends(self):
        # Guards against connections that close without an answer.
        answers = []

        async def check(vm, nursery):
            ports = await nursery.start(vm.run_until_signalled)

            async def call(tag):
                response = await self.get(ports.caller_port, "/slots", tag)
                headers = dict(response.headers)
                answers.append((response.status, headers[b"x-outcome"]))

            async with trio.open_nursery() as call_nursery:
                for number in range(6):
                    call_nursery.start_soon(call, f"r{number}")
                while vm._application.in_flight < 6:
                    await trio.sleep(0.01)
                await vm.stop("test")

        self.run_with(check, service_time=1e9, stop_seconds=0.7)
        refused = [(503, b"not-run")] * 3
        self.assertEqual([*refused, *[(504, b"unknown")] * 3], sorted(answers))
        self.assertEqual(3, len(self.backend.runs))

    def test_a_second_signal_stops_immediately(self):
        async def check(vm, nursery):
            async with trio.open_nursery() as vm_nursery:
                ports = await vm_nursery.start(vm.run_until_signalled)
                async with trio.open_nursery() as call_nursery:
                    call_nursery.start_soon(
                        self.expect_read_error, ports.caller_port
                    )
                    await self.backend.request_received.wait()
                    os.kill(os.getpid(), signal.SIGTERM)
                    await wait_until_leaving(vm)
                    os.kill(os.getpid(), signal.SIGTERM)

        self.run_with(check, service_time=1e9)

    async def expect_read_error(self, port):
        with testtools.ExpectedException(httpcore.ReadError):
            await self.get(port, "/slots")


async def wait_until_refused(port):
    while True:
        try:
            stream = await trio.open_tcp_stream(builders.IP, port)
        except OSError:
            return
        await stream.aclose()
        await trio.sleep(0.01)


class AdminTest(DaemonCase):
    def test_the_admin_port_serves_health_readiness_metrics_and_status(self):
        async def check(vm, nursery):
            ports = await nursery.start(vm.run)
            await self.get(ports.caller_port, "/nowhere")
            for target in ("/health", "/ready"):
                answer = await self.get(ports.admin_port, target)
                self.assertEqual(200, answer.status)
            metrics = await self.get(ports.admin_port, "/metrics")
            self.assertIn(
                b'primrosemill_refusals_total{reason="no_route"} 1.0',
                metrics.content,
            )
            answer = await self.get(ports.admin_port, "/status")
            vm_status = msgspec.json.decode(answer.content, type=status.Status)
            self.assertEqual("serving", vm_status["state"])
            self.assertEqual(1, vm_status["configuration"]["version"])
            instances = vm_status["services"][0]["instances"]
            self.assertEqual("in_rotation", instances[0]["state"])
            missing = await self.get(ports.admin_port, "/other")
            self.assertEqual(404, missing.status)

        self.run_with(check)

    def test_an_internal_error_resets_the_callers_connection(self):
        async def check(vm, nursery):
            ports = await nursery.start(vm.run)
            vm._application._find_route = None
            with testtools.ExpectedException(httpcore.ReadError):
                await self.get(ports.caller_port, "/slots")
            metrics = await self.get(ports.admin_port, "/metrics")
            self.assertIn(
                b"primrosemill_request_failures_total 1.0", metrics.content
            )

        self.run_with(check)
