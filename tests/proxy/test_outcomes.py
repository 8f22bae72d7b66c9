import functools
import socket
import time

import testtools
import trio
import trio.testing

from primrosemill.decisions import outcomes
from primrosemill.proxy import callers
from primrosemill.proxy import request_policies
from primrosemill.standins import faults
from primrosemill.standins import instance
from tests.builders import answers
from tests.builders import path as builders

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 X\r\nx-shed: 1\r\ncontent-length: 0\r\n\r\n"


async def answer_whole(stream, count):
    await stream.send_all(WHOLE)
    return True


async def close_silently(stream, count):
    return False


async def close_second_request(stream, count):
    if count == 0:
        return await answer_whole(stream, count)
    return False


async def shed(stream, count):
    await stream.send_all(SHED)
    return True


async def never_answer(stream, count):
    await trio.sleep_forever()


async def send_garbage(stream, count):
    await stream.send_all(b"garbage\r\n\r\n")
    return False


def truncate_after(size):
    async def truncate(stream, count):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n"
        await stream.send_all(head + b"x" * size)
        return False

    return truncate


class RecordingObserver:
    """Records the ends of attempts in place of a fault detector."""

    def __init__(self):
        self.ends = []
        self.ended = trio.Event()

    def next_trial_instance(self, service, now):
        return None

    def attempt_started(self, start):
        pass

    def attempt_answered(self, start, status):
        pass

    def limit_read(self, reading):
        pass

    def attempt_ended(self, end):
        self.ends.append(end)
        self.ended.set()

    def reasons(self):
        return [
            getattr(end.outcome, "reason", "answered") for end in self.ends
        ]


class OutcomeCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.observer = RecordingObserver()
        self.plugs = request_policies.default_policies()._replace(
            observer=self.observer
        )

    def run_check(self, scripts, check, **options):
        trio.run(functools.partial(self._run, scripts, check, options))

    async def _run(self, scripts, check, options):
        async with trio.open_nursery() as nursery:
            instances = [
                builders.ScriptedInstance(script) for script in scripts
            ]
            addresses = [await nursery.start(each.serve) for each in instances]
            path = await builders.start_path(
                nursery, addresses, self.plugs, **options
            )
            with trio.fail_after(20):
                await check(path, instances)
            nursery.cancel_scope.cancel()

    def assert_outcome(self, response, status, outcome, reason=None):
        self.assertEqual(status, response.status)
        self.assertEqual(outcome, answers.header(response, "x-outcome"))
        self.assertEqual(reason, answers.header(response, "x-outcome-reason"))


class NotRunTest(OutcomeCase):
    def test_a_shed_request_is_sent_to_another_instance(self):
        async def check(path, instances):
            response = await builders.call(
                path, builders.NON_IDEMPOTENT_PATH, method="POST"
            )
            self.assert_outcome(response, 200, "answered")

        self.run_check([shed, answer_whole], check)

    def test_a_request_shed_by_every_instance_is_not_run(self):
        async def check(path, instances):
            response = await builders.call(
                path, builders.NON_IDEMPOTENT_PATH, method="POST"
            )
            self.assert_outcome(response, 503, "not-run", "retries_spent")
            self.assertEqual("1", answers.header(response, "retry-after"))
            self.assertEqual({"shed"}, set(self.observer.reasons()))

        self.run_check([shed], check, deadline=0.2)

    def test_an_answer_that_sheds_can_report_draining(self):
        async def shed_draining(stream, count):
            line = b"x-instance-state: draining\r\n\r\n"
            await stream.send_all(SHED[:-2] + line)
            return True

        async def check(path, instances):
            await builders.call(
                path, builders.NON_IDEMPOTENT_PATH, method="POST"
            )
            self.assertTrue(self.observer.ends[0].draining)

        self.run_check([shed_draining], check, deadline=0.1)

    def test_a_request_whose_deadline_passes_in_the_queue_is_not_run(self):
        async def check(path, instances):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    functools.partial(
                        builders.call,
                        path,
                        builders.IDEMPOTENT_PATH,
                        headers={"x-request-timeout": "1.5"},
                    )
                )
                await instances[0].request_received.wait()
                response = await builders.call(
                    path,
                    builders.IDEMPOTENT_PATH,
                    headers={"x-request-timeout": "0.1"},
                )
            self.assert_outcome(response, 504, "not-run", "deadline")
            self.assertEqual(1, len(instances[0].request_heads))

        self.run_check([never_answer], check, slots=1)

    def test_nothing_is_sent_if_the_vm_is_paused_past_the_deadline(self):
        async def check(path, instances):
            # The connection is already open, so only the deadline check of
            # the stream can prevent the write after the pause.
            await builders.call(
                path, builders.NON_IDEMPOTENT_PATH, method="POST"
            )
            self.observer.attempt_started = lambda start: time.sleep(0.4)
            response = await builders.call(
                path, builders.NON_IDEMPOTENT_PATH, method="POST", tag="r2"
            )
            self.assertEqual(1, instances[0].connection_count)
            self.assertEqual(1, len(instances[0].request_heads))
            self.assert_outcome(response, 504, "not-run", "deadline")

        self.run_check([answer_whole], check, deadline=0.3)


class UnknownTest(OutcomeCase):
    def post(self, path, **options):
        return builders.call(
            path, builders.NON_IDEMPOTENT_PATH, method="POST", **options
        )

    def test_a_close_without_answer_is_unknown_and_not_repeated(self):
        async def check(path, instances):
            response = await self.post(path)
            self.assert_outcome(response, 502, "unknown", "closed")
            self.assertEqual(
                1, sum(len(each.request_heads) for each in instances)
            )

        self.run_check([close_silently, close_silently], check)

    def test_a_truncated_answer_is_unknown_and_not_repeated(self):
        async def check(path, instances):
            response = await self.post(path)
            self.assert_outcome(response, 502, "unknown", "truncated")
            self.assertEqual(1, len(instances[0].request_heads))

        self.run_check([truncate_after(50)], check)

    def test_an_answer_that_cannot_be_parsed_is_unknown(self):
        async def check(path, instances):
            response = await self.post(path)
            self.assert_outcome(response, 502, "unknown", "protocol")

        self.run_check([send_garbage], check)

    def test_no_answer_until_the_deadline_is_unknown(self):
        async def check(path, instances):
            response = await self.post(path)
            self.assert_outcome(response, 504, "unknown", "timeout")
            self.assertEqual(["cancelled"], self.observer.reasons())

        self.run_check([never_answer], check, deadline=0.2)

    def test_a_retried_request_that_may_have_run_is_unknown(self):
        async def check(path, instances):
            response = await builders.call(path, builders.IDEMPOTENT_PATH)
            self.assert_outcome(response, 502, "unknown", "closed")
            self.assertGreater(len(instances[0].request_heads), 1)

        self.run_check([close_silently], check, deadline=0.3)

    def test_a_close_of_a_reused_connection_is_unknown(self):
        async def check(path, instances):
            await self.post(path)
            response = await self.post(path, tag="r2")
            self.assert_outcome(response, 502, "unknown", "closed")
            # A new connection would have got an answer.
            self.assertEqual(2, len(instances[0].request_heads))

        self.run_check([close_second_request], check)


class CutHeadTest(OutcomeCase):
    # Guards against an answer whose head ends with its connection, and that
    # reaches the caller as a whole one.
    def test_answer_cut_at_any_byte_of_its_head_is_no_answer(self):
        end = WHOLE.index(b"\r\n\r\n") + len(b"\r\n\r\n")
        sizes = iter(range(1, end))

        async def cut_head(stream, count):
            await stream.send_all(WHOLE[: next(sizes)])
            return False

        async def check(path, instances):
            for size in range(1, end):
                response = await builders.call(
                    path,
                    builders.NON_IDEMPOTENT_PATH,
                    method="POST",
                    tag=f"r{size}",
                )
                self.assert_outcome(response, 502, "unknown", "closed")
                self.assertEqual(b"", response.content)

        self.run_check([cut_head], check)


class RetryTest(OutcomeCase):
    def test_idempotent_requests_are_retried_after_each_kind_of_fault(self):
        async def check(path, instances):
            for number in range(20):
                response = await builders.call(
                    path, builders.IDEMPOTENT_PATH, tag=f"r{number}"
                )
                self.assert_outcome(response, 200, "answered")

        self.run_check(
            [
                close_silently,
                truncate_after(50),
                send_garbage,
                shed,
                answer_whole,
            ],
            check,
        )

    def test_surplus_bytes_are_not_read_as_the_next_answer(self):
        async def answer_twice(stream, count):
            body = f"{len(tags)}".encode()
            head = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n"
            await stream.send_all((head + body) * 2)
            return True

        tags = []

        async def check(path, instances):
            for number in range(5):
                tags.append(number)
                response = await builders.call(path, builders.IDEMPOTENT_PATH)
                self.assertEqual(f"{number + 1}".encode(), response.content)

        self.run_check([answer_twice], check)

    def test_a_connection_closed_by_the_instance_is_not_reused(self):
        async def check(path, instances):
            for number in range(3):
                response = await builders.call(
                    path,
                    builders.NON_IDEMPOTENT_PATH,
                    tag=f"r{number}",
                    method="POST",
                )
                self.assert_outcome(response, 200, "answered")
                await trio.testing.wait_all_tasks_blocked(0.01)

        async def answer_and_close(stream, count):
            await answer_whole(stream, count)
            return False

        self.run_check([answer_and_close], check)


class CallerSideTest(OutcomeCase):
    async def raw_call(self, path, version=b"1.1"):
        stream = await trio.open_tcp_stream(builders.IP, path.port)
        await stream.send_all(
            b"GET /slots/today HTTP/" + version + b"\r\nhost: a\r\n\r\n"
        )
        return stream

    async def read_until_broken(self, stream):
        with testtools.ExpectedException(trio.BrokenResourceError):
            async for _ in stream:
                pass

    def test_a_truncated_relayed_answer_resets_the_callers_connection(self):
        async def check(path, instances):
            for version in (b"1.1", b"1.0"):
                stream = await self.raw_call(path, version)
                await self.read_until_broken(stream)

        async def break_off(stream, count):
            head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            await stream.send_all(head + b"5\r\nfirst\r\n")
            await trio.testing.wait_all_tasks_blocked(0.01)
            return False

        self.run_check([break_off], check)

    def test_a_disconnect_of_the_caller_cancels_its_attempt(self):
        closed = trio.Event()

        async def wait_for_close(stream, count):
            try:
                await stream.receive_some(1)
            finally:
                closed.set()
            return False

        async def check(path, instances):
            stream = await self.raw_call(path)
            await instances[0].request_received.wait()
            await stream.aclose()
            await closed.wait()
            await self.observer.ended.wait()
            self.assertTrue(self.observer.ends[0].abandoned)

        # The deadline is far, so only the disconnect can cancel the attempt.
        self.run_check([wait_for_close], check, deadline=3_600.0)

    def test_a_draining_server_answers_requests_on_idle_connections(self):
        async def check(path, instances):
            stream = await self.raw_call(path)
            await stream.receive_some(65_536)
            path.application.closing = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(path.server.drain)
                await trio.testing.wait_all_tasks_blocked()
                await stream.send_all(
                    b"GET /slots/x HTTP/1.1\r\nhost: a\r\n\r\n"
                )
                answer = b"".join([data async for data in stream])
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            self.assertIn(b"connection: close", answer.lower())

        self.run_check([answer_whole], check)

    def test_a_disconnect_right_after_the_request_is_noticed(self):
        async def check(path, instances):
            for _ in range(10):
                stream = await self.raw_call(path)
                await stream.aclose()
            # The server stops only when no request is in flight any more.
            await path.server.drain()

        self.run_check([never_answer], check, deadline=3_600.0)

    def test_a_complete_answer_frees_its_slot_before_it_is_relayed(self):
        ends_before = []
        relay = callers.Caller.relay

        async def spy(*arguments):
            ends_before.append(len(self.observer.ends))
            return await relay(*arguments)

        async def check(path, instances):
            await builders.call(path, builders.IDEMPOTENT_PATH)
            self.assertEqual([1], ends_before)
            self.assertFalse(self.observer.ends[0].abandoned)

        self.patch(callers.Caller, "relay", spy)
        self.run_check([answer_whole], check)

    def test_an_upgrade_request_is_answered_without_an_upgrade(self):
        async def check(path, instances):
            for upgrade in ("websocket", "h2c"):
                response = await builders.call(
                    path,
                    builders.IDEMPOTENT_PATH,
                    headers={"connection": "upgrade", "upgrade": upgrade},
                )
                self.assertEqual(200, response.status)
            for head in instances[0].request_heads:
                self.assertNotIn(b"upgrade", head.lower())

        self.run_check([answer_whole], check)

    def test_malformed_requests_are_refused(self):
        async def check(path, instances):
            for malformed in (
                b"\x16\x03\x01\x00\r\n\r\n",
                b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
                b"GET / HTTP/1.1\r\n" + b"a: " + b"b" * 100_000,
            ):
                stream = await trio.open_tcp_stream(builders.IP, path.port)
                await stream.send_all(malformed)
                answer = await stream.receive_some(65_536)
                self.assertTrue(answer.startswith(b"HTTP/1.1 4"), answer)
            self.assertEqual([], instances[0].request_heads)

        self.run_check([answer_whole], check)

    def test_instances_receive_the_remaining_time(self):
        async def check(path, instances):
            await builders.call(
                path,
                builders.IDEMPOTENT_PATH,
                headers={"X-Request-Timeout": "2"},
            )
            head_lines = instances[0].request_heads[0].lower().split(b"\r\n")
            remaining = [
                float(line.partition(b":")[2])
                for line in head_lines
                if line.startswith(b"x-request-timeout")
            ]
            self.assertEqual(1, len(remaining))
            self.assertTrue(0 < remaining[0] <= 2)

        self.run_check([answer_whole], check)


class RefusedConnectionTest(OutcomeCase):
    def test_a_refused_connection_is_not_run(self):
        trio.run(self._check)

    async def _check(self):
        async with trio.open_nursery() as nursery:
            with socket.socket() as unused_socket:
                unused_socket.bind((builders.IP, 0))
                address = f"{builders.IP}:{unused_socket.getsockname()[1]}"
                path = await builders.start_path(
                    nursery, [address], self.plugs, deadline=0.2
                )
                response = await builders.call(
                    path, builders.NON_IDEMPOTENT_PATH, method="POST"
                )
            self.assert_outcome(response, 503, "not-run", "retries_spent")
            self.assertEqual(
                {outcomes.NotRunReason.CONNECT_REFUSED},
                set(self.observer.reasons()),
            )
            nursery.cancel_scope.cancel()


class StandinFaultsTest(testtools.TestCase):
    def test_idempotent_requests_are_retried_after_faults_of_a_standin(self):
        trio.run(self._check)

    async def _check(self):
        async with trio.open_nursery() as nursery:
            standins = [
                instance.InstanceStandin(f"res-{number}", 3, 0.0)
                for number in range(2)
            ]
            addresses = await builders.start_standins(nursery, standins)
            path = await builders.start_path(nursery, addresses)
            for mode in (
                faults.Mode.TRUNCATE,
                faults.Mode.CLOSE_ON_REUSE,
                faults.Mode.CLOSE_AFTER_RUN,
            ):
                standins[0].set_sickness(faults.InjectedFault(mode))
                for number in range(10):
                    tag = f"{mode}-{number}"
                    response = await builders.call(
                        path, builders.IDEMPOTENT_PATH, tag
                    )
                    self.assertEqual(200, response.status)
                    self.assertIn(tag.encode(), response.content)
            nursery.cancel_scope.cancel()
