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
        cuts = builders.Cuts(self)
        failures = [builders.FAILURES_BY_NAME[name] for name in names]
        with trio.fail_after(TIME_LIMIT):
            async with trio.open_nursery() as nursery:
                bench = builders.Bench(nursery, cuts)
                await bench.start()
                await bench.call_for(TIME_BEFORE)
                for failure in failures:
                    failure.begin(bench)
                await bench.call_for(TIME_DURING)
                bench.publish()
                await bench.call_for(TIME_DURING)
                for failure in failures:
                    failure.end(bench)
                bench.publish()
                await bench.until_in_force()
                await self.until_answered(bench)
                nursery.cancel_scope.cancel()
        self.assertEqual((), history.check(bench.history()))
        for seen in bench.versions_by_vm.values():
            self.assertEqual(sorted(seen), seen)
        self.assertLessEqual(builders.FLOOR, bench.fewest_in_rotation)

    async def until_answered(self, bench):
        """Call until all requests within one interval are answered."""
        while True:
            count = len(bench.calls)
            await bench.call_for(TIME_AFTER)
            latest = bench.calls[count:]
            if latest and all(each.status == STATUS_OK for each in latest):
                return


def _add_tests():
    names = tuple(builders.FAILURES_BY_NAME)
    alone = [(name,) for name in names]
    for each in alone + list(itertools.combinations(names, 2)):
        method = functools.partialmethod(FailuresTest.check, each)
        setattr(FailuresTest, "test_" + "_and_".join(each), method)


_add_tests()
