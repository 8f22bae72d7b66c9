import testtools
import trio

from primrosemill.standins import users_instance
from tests.builders import answers
from tests.builders import users_platform as builders

ResponseMode = users_instance.ResponseMode
SIGNATURE = "primrosemill-server-signature"


async def check_served(case, built, target, **request):
    """Check that each of four requests gets a 200 answer."""
    for number in range(4):
        response = await builders.call(built, target, f"r{number}", **request)
        case.assertEqual(200, response.status)


class RelayedAnswerTest(testtools.TestCase):
    def test_answer_is_relayed_whole_with_the_expected_headers(self):
        async def check(built):
            response = await builders.call(built, builders.READ_PATH, "r7")
            self.assertEqual(200, response.status)
            self.assertEqual(users_instance.BODY, response.content)
            self.assertEqual(
                "r7", answers.header(response, "primrosemill-request-id")
            )
            (instance,) = [each for each in built.instances if each.runs]
            self.assertEqual(
                f"by.{instance.id}", answers.header(response, SIGNATURE)
            )
            headers = instance.runs[0].headers
            expected = headers["primrosemill-expect-instance"]
            self.assertEqual(instance.id, expected)
            time_left = int(headers["primrosemill-request-deadline"])
            self.assertTrue(1000 < time_left <= 2000, time_left)

        builders.run(check)

    def test_route_timeout_limits_the_deadline_sent_to_the_instance(self):
        async def check(built):
            await builders.call(built, builders.READ_PATH, time_left=60_000)
            (run,) = builders.runs(built)
            time_left = int(run.headers["primrosemill-request-deadline"])
            self.assertTrue(time_left <= 2000, time_left)

        builders.run(check)

    def test_path_without_route_gets_404(self):
        async def check(built):
            for target in ("/other/", "/slots"):
                response = await builders.call(built, target)
                self.assertEqual(404, response.status, target)

        builders.run(check)

    def test_answer_without_content_length_is_relayed_whole(self):
        async def check(built):
            for each in built.instances:
                each.mode = ResponseMode.UNFRAMED
            response = await builders.call(
                built, builders.ONCE_PATH, method="POST"
            )
            self.assertEqual(200, response.status)
            self.assertEqual(users_instance.BODY, response.content)

        builders.run(check)


class IdempotentRetryTest(testtools.TestCase):
    def check_retried(self, manner):
        async def check(built):
            for each in built.instances:
                each.next_modes.append(manner)
            first, second = built.instances
            second.next_modes.clear()
            for number in range(2):
                response = await builders.call(
                    built, builders.READ_PATH, f"r{number}"
                )
                self.assertEqual(200, response.status)
                self.assertEqual(users_instance.BODY, response.content)
            self.assertEqual([], list(first.next_modes))

        builders.run(check)

    def test_server_error_is_retried(self):
        self.check_retried(ResponseMode.ERROR)

    def test_answer_to_another_request_is_retried(self):
        self.check_retried(ResponseMode.FOREIGN)

    def test_truncated_answer_is_retried(self):
        self.check_retried(ResponseMode.TRUNCATED)

    def test_answer_with_content_encoding_is_retried(self):
        self.check_retried(ResponseMode.ENCODED)

    def test_garbage_is_retried(self):
        self.check_retried(ResponseMode.GARBAGE)

    def test_closed_connection_is_retried(self):
        self.check_retried(ResponseMode.CLOSED)

    def test_last_error_is_relayed_unchanged(self):
        async def check(built):
            for each in built.instances:
                each.mode = ResponseMode.ERROR
            response = await builders.call(built, builders.READ_PATH)
            self.assertEqual(500, response.status)
            self.assertIsNotNone(answers.header(response, SIGNATURE))
            self.assertEqual(2, len(builders.runs(built)))

        builders.run(check, count=3)

    def test_surplus_bytes_after_an_answer_are_not_relayed(self):
        async def check(built):
            for each in built.instances:
                each.mode = ResponseMode.EXTRA
            for number in range(6):
                response = await builders.call(
                    built, builders.READ_PATH, f"r{number}"
                )
                self.assertEqual(users_instance.BODY, response.content)

        builders.run(check)


class OnceTest(testtools.TestCase):
    def test_non_idempotent_request_runs_once_after_any_failure(self):
        async def check(built):
            manners = (
                ResponseMode.ERROR,
                ResponseMode.FOREIGN,
                ResponseMode.TRUNCATED,
                ResponseMode.GARBAGE,
                ResponseMode.CLOSED,
            )
            for manner in manners:
                for each in built.instances:
                    each.mode = manner
                response = await builders.call(
                    built, builders.ONCE_PATH, manner.value, method="POST"
                )
                self.assertIn(response.status, (500, 502), manner)
            ids = [each.request_id for each in builders.runs(built)]
            self.assertEqual(len(manners), len(ids))
            self.assertEqual(len(set(ids)), len(ids))

        builders.run(check, count=3)

    def test_shed_request_is_sent_to_another_instance(self):
        async def check(built):
            first, second = built.instances
            first.mode = ResponseMode.SHED
            await check_served(self, built, builders.ONCE_PATH, method="POST")
            self.assertEqual(4, len(second.runs))

        builders.run(check)

    def test_request_refused_by_a_reused_address_is_sent_elsewhere(self):
        async def check(built):
            reused, _ = built.instances
            reused.id = "i-of-another-service"
            await check_served(self, built, builders.ONCE_PATH, method="POST")
            self.assertEqual([], reused.runs)

        builders.run(check)

    def test_refused_request_has_not_run_and_gets_retry_after(self):
        async def check(built):
            for each in built.instances:
                each.mode = ResponseMode.SHED
            response = await builders.call(
                built, builders.ONCE_PATH, method="POST"
            )
            self.assertEqual(503, response.status)
            retry_after = float(answers.header(response, "retry-after"))
            self.assertTrue(0 < retry_after < 10, retry_after)
            self.assertEqual([], builders.runs(built))

        builders.run(check)

    def test_max_attempts_limits_the_instances_tried(self):
        async def check(built):
            for each in built.instances:
                each.mode = ResponseMode.SHED
            await builders.call(built, builders.ONCE_PATH, method="POST")
            tried = [each.id for each in built.instances if each.turned_away]
            self.assertEqual(2, len(tried))

        builders.run(check, count=4)


class UploadTest(testtools.TestCase):
    def test_sized_and_chunked_bodies_reach_the_instance_whole(self):
        async def check(built):
            body = bytes(range(256)) * 2_000

            async def chunks():
                for start in range(0, len(body), 10_000):
                    yield body[start : start + 10_000]

            for number, content in enumerate((body, chunks())):
                response = await builders.call(
                    built,
                    builders.UPLOAD_PATH,
                    f"r{number}",
                    "POST",
                    content=content,
                )
                self.assertEqual(200, response.status)
            bodies = [each.body for each in builders.runs(built)]
            self.assertEqual([body, body], bodies)

        builders.run(check)

    def test_early_answer_leaves_no_partial_body_at_an_instance(self):
        async def check(built):
            for each in built.instances:
                each.next_modes.append(ResponseMode.EARLY)
            for number in range(4):
                response = await builders.call(
                    built,
                    builders.UPLOAD_PATH,
                    f"r{number}",
                    "POST",
                    content=b"x" * 400_000,
                )
                self.assertIn(response.status, (200, 502, 503))
            for each in builders.runs(built):
                self.assertIn(len(each.body), (0, 400_000))

        builders.run(check)

    def test_shed_large_upload_is_sent_to_another_instance(self):
        async def check(built):
            shedding, other = built.instances
            shedding.mode = ResponseMode.SHED
            await check_served(
                self,
                built,
                builders.UPLOAD_PATH,
                method="POST",
                content=b"x" * 300_000,
            )
            sizes = [len(each.body) for each in other.runs]
            self.assertEqual([300_000] * 4, sizes)

        builders.run(check)

    def test_body_over_the_limit_gets_413(self):
        async def check(built):
            response = await builders.call(
                built, builders.UPLOAD_PATH, "r1", "POST", content=b"x" * 2**20
            )
            self.assertEqual(413, response.status)
            self.assertEqual([], builders.runs(built))

        builders.run(check)


class DeadlineTest(testtools.TestCase):
    def test_request_to_a_hanging_instance_times_out_at_its_deadline(self):
        async def check(built):
            built.instances[0].mode = ResponseMode.HANG
            started = trio.current_time()
            response = await builders.call(
                built, builders.ONCE_PATH, method="POST", time_left=400
            )
            self.assertEqual(504, response.status)
            elapsed = trio.current_time() - started
            self.assertTrue(0.3 < elapsed < 1.2, elapsed)
            with trio.fail_after(1.0):
                await built.instances[0].gone.wait()

        builders.run(check, count=1)

    def test_idempotent_requests_are_served_despite_a_hanging_instance(self):
        async def check(built):
            for number in range(30):
                await builders.call(built, builders.READ_PATH, f"w{number}")
            hanging, _ = built.instances
            hanging.mode = ResponseMode.HANG
            started = trio.current_time()
            await check_served(self, built, builders.READ_PATH)
            self.assertLess(trio.current_time() - started, 1.5)

        builders.run(check)

    def test_connection_to_the_instance_closes_when_the_caller_leaves(self):
        async def check(built):
            instance = built.instances[0]
            instance.mode = ResponseMode.HANG
            with trio.move_on_after(0.3):
                await builders.call(built, builders.READ_PATH)
            with trio.fail_after(0.5):
                await instance.gone.wait()

        builders.run(check, count=1)
