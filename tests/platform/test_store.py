import contextlib

import testtools
import trio

from primrosemill.fleet import feed
from primrosemill.fleet import interfaces
from primrosemill.platform import store
from primrosemill.standins import asgi
from primrosemill.standins import users_store
from tests.builders import users_platform as builders


@contextlib.asynccontextmanager
async def reading():
    standin = users_store.StoreStandin()
    async with trio.open_nursery() as nursery:
        served = await nursery.start(asgi.serve, standin, builders.IP)
        client = store.Store(served.address)
        yield standin, client
        await client.aclose()
        nursery.cancel_scope.cancel()


def run(check):
    async def main():
        with trio.fail_after(20):
            async with reading() as (standin, client):
                await check(standin, client)

    trio.run(main)


class ReadTest(testtools.TestCase):
    def test_all_pages_are_read(self):
        async def check(standin, client):
            for number in range(2 * users_store.PAGE_SIZE + 5):
                standin.put_json(f"servers/i-{number}", builders.entry())
            standin.put_json("op/config", builders.configuration())
            batch = (await client.read()).ok.batch
            self.assertTrue(batch.whole)
            self.assertEqual(106, len(batch.items))
            self.assertEqual(standin.revision, batch.revision)
            self.assertEqual(3, standin.calls)

        run(check)

    def test_bad_values_are_reported_and_the_others_hold(self):
        async def check(standin, client):
            standin.put("servers/i-1", b"\xff")
            standin.put_json("servers/i-2", builders.entry())
            read = (await client.read()).ok
            self.assertEqual(
                ["servers/i-1"], [each.key for each in read.bad_items]
            )
            good = [each for each in read.batch.items if not each.removed]
            self.assertEqual(["servers/i-2"], [each.key for each in good])

        run(check)

    def test_every_fault_has_a_type(self):
        async def check(standin, client):
            for status in (429, 503, 500):
                standin.faults = users_store.Faults(status=status)
                result = await client.read()
                self.assertEqual(status, result.error.status)
            standin.faults = users_store.Faults(garbled=True)
            result = await client.read()
            self.assertIsInstance(result.error, interfaces.BadAnswer)
            standin.faults = users_store.Faults(silent=True)
            result = await client.read()
            self.assertIsInstance(result.error, interfaces.TimedOut)
            standin.faults = users_store.WELL
            self.assertTrue((await client.read()).is_ok())

        run(check)

    def test_a_store_that_is_not_there_is_a_fault(self):
        async def main():
            client = store.Store(f"{builders.IP}:{builders.free_port()}")
            result = await client.read()
            self.assertIsInstance(result.error, interfaces.Unreachable)
            await client.aclose()

        trio.run(main)


class WatchTest(testtools.TestCase):
    def test_changes_come_at_once(self):
        async def check(standin, client):
            standin.put_json("servers/i-1", builders.entry())
            revision = (await client.read()).ok.batch.revision

            async def change():
                await trio.sleep(0.1)
                standin.delete("servers/i-1")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                started = trio.current_time()
                batch = (await client.watch(revision, 5.0)).ok.batch
            self.assertLess(trio.current_time() - started, 1.0)
            self.assertEqual(
                [("servers/i-1", True)],
                [(each.key, each.removed) for each in batch.items],
            )
            self.assertEqual((revision, revision + 1), batch[:2])

        run(check)

    def test_nothing_new_is_an_empty_batch(self):
        async def check(standin, client):
            result = await client.watch(standin.revision, 0.05)
            self.assertEqual((), result.ok.batch.items)

        run(check)

    def test_a_forgotten_history_is_told(self):
        async def check(standin, client):
            standin.put_json("servers/i-1", builders.entry())
            standin.compact()
            result = await client.watch(1, 0.05)
            self.assertEqual(feed.HistoryGone(1), result.error)

        run(check)
