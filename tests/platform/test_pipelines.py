"""Tests pipelined requests: several on one connection before an answer."""

import testtools
import trio

from primrosemill.standins import users_instance
from tests.builders import pipelines
from tests.builders import users_platform as builders

ResponseMode = users_instance.ResponseMode
CLOSE = ("connection: close",)


class PipelineTest(testtools.TestCase):
    def check(self, check, **kwargs):
        builders.run(check, **kwargs)

    def test_answers_are_in_the_order_of_the_requests(self):
        async def check(built):
            for each in built.instances:
                each.pauses_by_id = {"r0": 0.4, "r1": 0.2}
            stream = await pipelines.connect(built)
            ids = [f"r{number}" for number in range(6)]
            await stream.send_all(b"".join(map(pipelines.request, ids)))
            answers = await pipelines.read_answers(stream, 6)
            self.assertEqual(ids, [each.request_id for each in answers])
            self.assertEqual({200}, {each.status for each in answers})
            self.assertEqual(ids, pipelines.natural(pipelines.ids_run(built)))

        self.check(check)

    def test_request_is_sent_only_after_the_answers_before_it(self):
        """Guard against a request that runs twice.

        If an answer closes the connection, the caller sends all requests
        after it again.
        """

        async def check(built):
            for each in built.instances:
                each.pauses_by_id = {"r0": 0.5}
            stream = await pipelines.connect(built)
            await stream.send_all(
                pipelines.request("r0")
                + pipelines.request("r1")
                + pipelines.once("r2")
            )
            await trio.sleep(0.25)
            self.assertEqual(["r0"], pipelines.ids_run(built))
            answers = await pipelines.read_answers(stream, 3)
            self.assertEqual(
                ["r0", "r1", "r2"], [each.request_id for each in answers]
            )

        self.check(check)

    def test_requests_after_connection_close_are_not_run(self):
        async def check(built):
            stream = await pipelines.connect(built)
            await stream.send_all(
                pipelines.request("r0", lines=CLOSE)
                + pipelines.request("r1")
                + pipelines.once("r2")
            )
            (answer,) = await pipelines.read_answers(stream)
            self.assertEqual((200, "r0"), answer[:2])
            self.assertEqual(users_instance.BODY, answer.body)
            self.assertEqual(["r0"], pipelines.ids_run(built))

        self.check(check)

    def test_last_answer_is_whole_while_the_caller_still_sends(self):
        """Guard against a lost answer.

        Closing a connection with unread bytes resets it, and the caller
        never sees the answer.
        """

        async def check(built):
            for each in built.instances:
                each.pauses_by_id = {"r0": 0.2}
            stream = await pipelines.connect(built)
            await stream.send_all(pipelines.request("r0", lines=CLOSE))
            async with trio.open_nursery() as nursery:

                async def send_on():
                    for _ in range(20):
                        await stream.send_all(b"x" * 10_000)
                        await trio.sleep(0.02)

                nursery.start_soon(send_on)
                (answer,) = await pipelines.read_answers(stream)
                nursery.cancel_scope.cancel()
            self.assertEqual((200, "r0"), answer[:2])

        self.check(check)

    def test_deadline_of_a_pipelined_request_includes_its_wait(self):
        async def check(built):
            for each in built.instances:
                each.pauses_by_id = {"r0": 0.8}
            stream = await pipelines.connect(built)
            await stream.send_all(
                pipelines.request("r0") + pipelines.once("r1", time_left=300)
            )
            first, second = await pipelines.read_answers(stream, 2)
            self.assertEqual(200, first.status)
            self.assertEqual(503, second.status)
            self.assertEqual(["r0"], pipelines.ids_run(built))

        self.check(check)

    def test_all_requests_end_when_the_caller_leaves(self):
        async def check(built):
            for each in built.instances:
                each.mode = ResponseMode.HANG
            stream = await pipelines.connect(built)
            await stream.send_all(
                b"".join(pipelines.request(f"r{n}") for n in range(3))
                + pipelines.once("r3")
            )
            await trio.sleep(0.3)
            self.assertEqual(["r0"], pipelines.ids_run(built))
            await stream.aclose()
            with trio.fail_after(0.5):
                for each in built.instances:
                    if each.runs:
                        await each.gone.wait()
            await trio.sleep(0.1)
            self.assertEqual(["r0"], pipelines.ids_run(built))
            self.assertEqual(0, built.vm.read_status()["requests_in_flight"])

        self.check(check)

    def test_size_limits_apply_to_each_request(self):
        async def check(built):
            stream = await pipelines.connect(built)
            await stream.send_all(
                pipelines.request("r0")
                + pipelines.once("r1", body=b"x" * 6_000)
            )
            first, second = await pipelines.read_answers(stream, 2)
            self.assertEqual((200, 413), (first.status, second.status))
            stream = await pipelines.connect(built)
            long = ("x-more: " + "x" * 2_000,)
            await stream.send_all(
                pipelines.request("r2") + pipelines.request("r3", lines=long)
            )
            first, second = await pipelines.read_answers(stream, 2)
            self.assertEqual((200, 431), (first.status, second.status))

        limits = {
            "max_header_bytes": 1_000,
            "max_body_bytes": 5_000,
            "header_timeout_ms": 300,
            "idle_timeout_ms": 15_000,
        }
        self.check(check, document=builders.configuration(limits=limits))

    def test_number_of_requests_read_ahead_is_limited(self):
        async def check(built):
            for each in built.instances:
                each.pause = 0.02
            stream = await pipelines.connect(built)
            ids = [f"r{number}" for number in range(60)]
            await stream.send_all(
                b"".join(
                    pipelines.request(each, time_left=9_000) for each in ids
                )
            )
            await trio.sleep(0.05)
            status = built.vm.read_status()
            self.assertLessEqual(status["requests_in_flight"], 8)
            answers = await pipelines.read_answers(stream, 60)
            self.assertEqual(ids, [each.request_id for each in answers])

        self.check(check, count=3)

    def test_garbage_after_a_request_is_refused_after_its_answer(self):
        async def check(built):
            for each in built.instances:
                each.pause = 0.2
            stream = await pipelines.connect(built)
            await stream.send_all(
                pipelines.request("r0") + b"\x00 no request\r\n\r\n"
            )
            first, second = await pipelines.read_answers(stream)
            self.assertEqual((200, "r0"), first[:2])
            self.assertEqual(400, second.status)

        self.check(check)

    def test_stopping_vm_answers_all_requests_that_it_sent_on(self):
        async def check(built):
            for each in built.instances:
                each.pause = 0.5
            stream = await pipelines.connect(built)
            await stream.send_all(
                b"".join(pipelines.request(f"r{n}") for n in range(3))
            )
            await trio.sleep(0.2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(built.vm.stop, "SIGTERM")
                await trio.sleep(0.1)
                await stream.send_all(pipelines.request("r3"))
                answers = await pipelines.read_answers(stream)
            ids = [each.request_id for each in answers]
            self.assertEqual(["r0", "r1", "r2"], ids[:3])
            self.assertEqual({200}, {each.status for each in answers[:3]})
            closing = [each.closes for each in answers]
            self.assertEqual([False] * (len(ids) - 1) + [True], closing)
            self.assertEqual(sorted(ids), sorted(pipelines.ids_run(built)))

        self.check(check, count=3, stop_seconds=3.0)
