import testtools
import trio

from primrosemill.standins import instance
from tests.builders import path as builders


class PathsTest(testtools.TestCase):
    def test_a_confusing_path_is_refused_and_not_run(self):
        trio.run(self._call_confusing_paths)

    async def _call_confusing_paths(self):
        standin = instance.InstanceStandin("res-0", 3, 0.0)
        async with trio.open_nursery() as nursery:
            addresses = await builders.start_standins(nursery, [standin])
            path = await builders.start_path(nursery, addresses)
            for target in ("/slots/%2e%2e/bookings/new", "/slots%2Ftoday"):
                response = await builders.call(path, target)
                self.assertEqual(400, response.status)
                self.assertEqual({}, standin.runs_by_tag)
            nursery.cancel_scope.cancel()
