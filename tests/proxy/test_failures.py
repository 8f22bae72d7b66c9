"""Every failure named in the requirements, alone and in pairs.

The guarantees hold during and after each failure: an answer is complete and
belongs to the caller's own request, a request that is not idempotent runs at
most once, one reported as "not run" did not run, no version is followed by an
older one, and ejection keeps the floor of instances in rotation. Once the
failure is over, every request is answered and a new version is in force on
all VMs.
"""

import functools
import itertools

import testtools
import trio

from primrosemill.proofs import history
from tests.builders import failures as builders

TIME_LIMIT = 60  # seconds; turns a hang into a failure
TIME_BEFORE = 0.3  # seconds
TIME_DURING = 0.6  # seconds in each half of a failure
TIME_AFTER = 0.3  # seconds
STATUS_OK = 200


class FailuresTest(testtools.TestCase):
    def check(self, names):
        trio.run(self._check, names)

    async def _check(self, names):
        cuts = builders.NetworkCuts(self)
        failures = [builders.FAILURES_BY_NAME[name] for name in names]
        with trio.fail_after(TIME_LIMIT):
            async with trio.open_nursery() as nursery:
                harness = builders.FleetHarness(nursery, cuts)
                await harness.start()
                await harness.send_calls_for(TIME_BEFORE)
                for failure in failures:
                    failure.begin(harness)
                await harness.send_calls_for(TIME_DURING)
                harness.publish()
                await harness.send_calls_for(TIME_DURING)
                for failure in failures:
                    failure.end(harness)
                harness.publish()
                await harness.wait_until_in_force()
                await self.until_answered(harness)
                nursery.cancel_scope.cancel()
        self.assertEqual((), history.check(harness.history()))
        for seen in harness.versions_by_vm.values():
            self.assertEqual(sorted(seen), seen)
        self.assertLessEqual(builders.FLOOR, harness.min_in_rotation)

    async def until_answered(self, harness):
        """Call until all requests within one interval are answered."""
        while True:
            count = len(harness.calls)
            await harness.send_calls_for(TIME_AFTER)
            latest = harness.calls[count:]
            if latest and all(each.status == STATUS_OK for each in latest):
                return


def _add_tests():
    names = tuple(builders.FAILURES_BY_NAME)
    alone = [(name,) for name in names]
    for each in alone + list(itertools.combinations(names, 2)):
        method = functools.partialmethod(FailuresTest.check, each)
        setattr(FailuresTest, "test_" + "_and_".join(each), method)


_add_tests()
