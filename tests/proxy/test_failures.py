"""Every failure that the users name, alone and in pairs.

Under each, and after it, the promises hold: answers are whole and the
caller's own, what must not be repeated runs at most once, "not run" is true,
no version is followed by an older one, and ejection leaves the floor. Once
the failure is over, every request is answered and a new version is in force
everywhere.
"""

import functools
import itertools

import testtools
import trio

from primrosemill.proofs import history
from tests.builders import failures as builders

LIMIT = 60  # seconds; a hang ends as a failure.
BEFORE = 0.3  # seconds
DURING = 0.6  # seconds in each half of a failure
AFTER = 0.3  # seconds
ANSWERED = 200


class FailuresTest(testtools.TestCase):
    def check(self, names):
        trio.run(self._check, names)

    async def _check(self, names):
        cuts = builders.Cuts(self)
        met = [builders.FAILURES_BY_NAME[name] for name in names]
        with trio.fail_after(LIMIT):
            async with trio.open_nursery() as nursery:
                bench = builders.Bench(nursery, cuts)
                await bench.start()
                await bench.call_for(BEFORE)
                for failure in met:
                    failure.begin(bench)
                await bench.call_for(DURING)
                bench.publish()
                await bench.call_for(DURING)
                for failure in met:
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
        """Wait for a while in which every request is answered."""
        while True:
            count = len(bench.calls)
            await bench.call_for(AFTER)
            latest = bench.calls[count:]
            if latest and all(each.status == ANSWERED for each in latest):
                return


def _add_tests():
    names = tuple(builders.FAILURES_BY_NAME)
    alone = [(name,) for name in names]
    for each in alone + list(itertools.combinations(names, 2)):
        method = functools.partialmethod(FailuresTest.check, each)
        setattr(FailuresTest, "test_" + "_and_".join(each), method)


_add_tests()
