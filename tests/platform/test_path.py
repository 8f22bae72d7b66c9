import testtools
import trio

from primrosemill.standins import users_instance
from tests.builders import answers
from tests.builders import users_platform as builders

Manner = users_instance.Manner
SIGNATURE = "primrosemill-server-signature"


async def check_served(case, built, target, **request):
    """Check that each of four requests is answered well."""
    for number in range(4):
        response = await builders.call(built, target, f"r{number}", **request)
        case.assertEqual(200, response.status)


class AnswerTest(testtools.TestCase):
    def test_an_answer_comes_back_whole_and_the_instance_is_named(self):
        async def check(built):
            response = await builders.call(built, builders.READ_PATH, "r7")
            self.assertEqual(200, response.status)
            self.assertEqual(users_instance.BODY, response.content)
            self.assertEqual(
                "r7", answers.header(response, "primrosemill-request-id")
            )
            (served,) = [each for each in built.instances if each.runs]
            self.assertEqual(
                f"by.{served.id}", answers.header(response, SIGNATURE)
            )
            headers = served.runs[0].headers
            expected = headers["primrosemill-expect-instance"]
            self.assertEqual(served.id, expected)
            left = int(headers["primrosemill-request-deadline"])
            self.assertTrue(1000 < left <= 2000, left)

        builders.run(check)

    def test_the_route_bounds_the_time_that_an_instance_gets(self):
        async def check(built):
            await builders.call(built, builders.READ_PATH, time_left=60_000)
            (ran,) = builders.runs(built)
            left = int(ran.headers["primrosemill-request-deadline"])
            self.assertTrue(left <= 2000, left)

        builders.run(check)

    def test_what_has_no_route_is_not_found(self):
        async def check(built):
            for target in ("/other/", "/slots"):
                response = await builders.call(built, target)
                self.assertEqual(404, response.status, target)

        builders.run(check)

    def test_an_answer_without_a_length_is_whole(self):
        async def check(built):
            for each in built.instances:
                each.manner = Manner.UNFRAMED
            response = await builders.call(
                built, builders.ONCE_PATH, method="POST"
            )
            self.assertEqual(200, response.status)
            self.assertEqual(users_instance.BODY, response.content)

        builders.run(check)


class RepeatTest(testtools.TestCase):
    def check_repeated(self, manner):
        async def check(built):
            for each in built.instances:
                each.next_manners.append(manner)
            first, second = built.instances
            second.next_manners.clear()
            for number in range(2):
                response = await builders.call(
                    built, builders.READ_PATH, f"r{number}"
                )
                self.assertEqual(200, response.status)
                self.assertEqual(users_instance.BODY, response.content)
            self.assertEqual([], list(first.next_manners))

        builders.run(check)

    def test_an_error_is_replaced_by_another_answer(self):
        self.check_repeated(Manner.ERROR)

    def test_a_foreign_answer_is_not_passed_on(self):
        self.check_repeated(Manner.FOREIGN)

    def test_a_truncated_answer_is_not_passed_on(self):
        self.check_repeated(Manner.TRUNCATED)

    def test_an_encoded_answer_is_not_passed_on(self):
        self.check_repeated(Manner.ENCODED)

    def test_garbage_is_not_passed_on(self):
        self.check_repeated(Manner.GARBAGE)

    def test_a_closed_connection_is_made_up_for(self):
        self.check_repeated(Manner.CLOSED)

    def test_the_last_error_is_passed_on_unchanged(self):
        async def check(built):
            for each in built.instances:
                each.manner = Manner.ERROR
            response = await builders.call(built, builders.READ_PATH)
            self.assertEqual(500, response.status)
            self.assertIsNotNone(answers.header(response, SIGNATURE))
            self.assertEqual(2, len(builders.runs(built)))

        builders.run(check, count=3)

    def test_bytes_after_an_answer_reach_nobody(self):
        async def check(built):
            for each in built.instances:
                each.manner = Manner.EXTRA
            for number in range(6):
                response = await builders.call(
                    built, builders.READ_PATH, f"r{number}"
                )
                self.assertEqual(users_instance.BODY, response.content)

        builders.run(check)


class OnceTest(testtools.TestCase):
    def test_what_must_not_repeat_runs_once_whatever_happens(self):
        async def check(built):
            manners = (
                Manner.ERROR,
                Manner.FOREIGN,
                Manner.TRUNCATED,
                Manner.GARBAGE,
                Manner.CLOSED,
            )
            for manner in manners:
                for each in built.instances:
                    each.manner = manner
                response = await builders.call(
                    built, builders.ONCE_PATH, manner.value, method="POST"
                )
                self.assertIn(response.status, (500, 502), manner)
            ids = [each.request_id for each in builders.runs(built)]
            self.assertEqual(len(manners), len(ids))
            self.assertEqual(len(set(ids)), len(ids))

        builders.run(check, count=3)

    def test_a_shed_request_goes_on_to_another_instance(self):
        async def check(built):
            first, second = built.instances
            first.manner = Manner.SHED
            await check_served(self, built, builders.ONCE_PATH, method="POST")
            self.assertEqual(4, len(second.runs))

        builders.run(check)

    def test_a_request_for_another_instance_goes_on(self):
        async def check(built):
            reused, _ = built.instances
            reused.id = "i-of-another-service"
            await check_served(self, built, builders.ONCE_PATH, method="POST")
            self.assertEqual([], reused.runs)

        builders.run(check)

    def test_a_refusal_is_true_and_says_when_to_come_back(self):
        async def check(built):
            for each in built.instances:
                each.manner = Manner.SHED
            response = await builders.call(
                built, builders.ONCE_PATH, method="POST"
            )
            self.assertEqual(503, response.status)
            wait = float(answers.header(response, "retry-after"))
            self.assertTrue(0 < wait < 10, wait)
            self.assertEqual([], builders.runs(built))

        builders.run(check)

    def test_no_more_instances_are_asked_than_the_route_allows(self):
        async def check(built):
            for each in built.instances:
                each.manner = Manner.SHED
            await builders.call(built, builders.ONCE_PATH, method="POST")
            asked = [each.id for each in built.instances if each.turned_away]
            self.assertEqual(2, len(asked))

        builders.run(check, count=4)


class UploadTest(testtools.TestCase):
    def test_sized_and_chunked_bodies_arrive_whole(self):
        async def check(built):
            body = bytes(range(256)) * 2_000

            async def pieces():
                for start in range(0, len(body), 10_000):
                    yield body[start : start + 10_000]

            for number, content in enumerate((body, pieces())):
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

    def test_an_early_answer_ends_the_connection_to_the_instance(self):
        async def check(built):
            for each in built.instances:
                each.next_manners.append(Manner.EARLY)
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

    def test_a_large_upload_that_is_shed_goes_on(self):
        async def check(built):
            shedding, other = built.instances
            shedding.manner = Manner.SHED
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

    def test_a_body_over_the_limit_is_refused(self):
        async def check(built):
            response = await builders.call(
                built, builders.UPLOAD_PATH, "r1", "POST", content=b"x" * 2**20
            )
            self.assertEqual(413, response.status)
            self.assertEqual([], builders.runs(built))

        builders.run(check)


class TimeTest(testtools.TestCase):
    def test_a_hanging_instance_ends_in_a_timeout_at_the_deadline(self):
        async def check(built):
            built.instances[0].manner = Manner.HANG
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

    def test_a_repeatable_request_overtakes_a_hanging_instance(self):
        async def check(built):
            for number in range(30):
                await builders.call(built, builders.READ_PATH, f"w{number}")
            hanging, _ = built.instances
            hanging.manner = Manner.HANG
            started = trio.current_time()
            await check_served(self, built, builders.READ_PATH)
            self.assertLess(trio.current_time() - started, 1.5)

        builders.run(check)

    def test_an_instance_learns_that_the_caller_has_left(self):
        async def check(built):
            instance = built.instances[0]
            instance.manner = Manner.HANG
            with trio.move_on_after(0.3):
                await builders.call(built, builders.READ_PATH)
            with trio.fail_after(0.5):
                await instance.gone.wait()

        builders.run(check, count=1)
