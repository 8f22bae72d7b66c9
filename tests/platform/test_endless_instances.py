"""Tests the VM's process beside bytes that are no answer and never end.

Six such instances have 48 callers, beside ordinary ones of another service.
"""

import testtools
import trio

from primrosemill.measure import endless
from primrosemill.standins import endless_instances
from tests.builders import cuts
from tests.builders import endless as builders
from tests.builders import users_platform

Shape = endless.Shape
# Those that cost the most to parse.
STORE_SHAPES = (
    Shape.BODY,
    Shape.INTERIM_ANSWERS,
    Shape.TINY_CHUNKS,
    Shape.TINY_HEAD_FIELDS,
)


class EndlessInstancesTest(testtools.TestCase):
    """Guards against a VM that runs out of memory or starves others."""


class EndlessStoreTest(testtools.TestCase):
    """Guards against the same by the platform's store."""


def _add_test(case, place, shape):
    def test(self):
        builders.check(self, place, shape)

    test.__name__ = f"test_{shape}"
    setattr(case, test.__name__, test)


for each in Shape:
    _add_test(EndlessInstancesTest, endless.Place.INSTANCES, each)
for each in STORE_SHAPES:
    _add_test(EndlessStoreTest, endless.Place.STORE, each)


class EndlessHelperTest(testtools.TestCase):
    def test_answer_of_another_vm_without_end(self):
        """Guards against a VM that a request was passed on to."""

        async def check(fleet, all_cuts):
            first = fleet.vms[0]
            await users_platform.call(first, users_platform.READ_PATH)
            all_cuts[0].start()
            async with trio.open_nursery() as nursery:
                helper = endless_instances.EndlessInstance(Shape.TINY_CHUNKS)
                await cuts.serve_helper(nursery, first, helper)
                async with trio.open_nursery() as calls:
                    for number in range(24):
                        calls.start_soon(self.call, first, f"r{number}")
                    await trio.sleep(0.5)
                    started = trio.current_time()
                    await users_platform.get(
                        first.settings.ready_address, "/-/readiness"
                    )
                    took = trio.current_time() - started
                self.assertLess(took, builders.MAX_HANG)
                nursery.cancel_scope.cancel()

        cuts.run(check, (cuts.FIRST_DOMAIN,), cuts.How.RESET, 1)

    async def call(self, built, request_id):
        response = await users_platform.call(
            built, users_platform.READ_PATH, request_id, time_left=1_500
        )
        self.assertNotEqual(200, response.status)
