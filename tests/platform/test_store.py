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
async def run_store():
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
            async with run_store() as (standin, client):
                await check(standin, client)

    trio.run(main)


class ReadTest(testtools.TestCase):
    def test_read_returns_the_items_of_all_pages(self):
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

    def test_read_reports_invalid_values_and_keeps_the_others(self):
        async def check(standin, client):
            standin.put("servers/i-1", b"\xff")
            standin.put_json("servers/i-2", builders.entry())
            read = (await client.read()).ok
            self.assertEqual(
                ["servers/i-1"], [each.key for each in read.bad_items]
            )
            valid = [each for each in read.batch.items if not each.removed]
            self.assertEqual(["servers/i-2"], [each.key for each in valid])

        run(check)

    def test_read_returns_a_typed_fault(self):
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
            standin.faults = users_store.NO_FAULTS
            self.assertTrue((await client.read()).is_ok())

        run(check)

    def test_read_of_an_unreachable_store_is_a_fault(self):
        async def main():
            client = store.Store(f"{builders.IP}:{builders.free_port()}")
            result = await client.read()
            self.assertIsInstance(result.error, interfaces.Unreachable)
            await client.aclose()

        trio.run(main)


class WatchTest(testtools.TestCase):
    def test_watch_returns_at_the_first_change(self):
        async def check(standin, client):
            standin.put_json("servers/i-1", builders.entry())
            revision = (await client.read()).ok.batch.revision

            async def change():
                await trio.sleep(0.1)
                standin.delete("servers/i-1")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                started = trio.current_time()
                batch = (
                    await client.watch(feed.Position(0, revision), 5.0)
                ).ok.batch
            self.assertLess(trio.current_time() - started, 1.0)
            self.assertEqual(
                [("servers/i-1", True)],
                [(each.key, each.removed) for each in batch.items],
            )
            self.assertEqual((revision, revision + 1), batch[:2])

        run(check)

    def test_watch_without_changes_returns_an_empty_batch(self):
        async def check(standin, client):
            result = await client.watch(
                feed.Position(0, standin.revision), 0.05
            )
            self.assertEqual((), result.ok.batch.items)

        run(check)

    def test_watch_after_a_compacted_revision_returns_history_gone(self):
        async def check(standin, client):
            standin.put_json("servers/i-1", builders.entry())
            standin.compact()
            after = feed.Position(0, 1)
            result = await client.watch(after, 0.05)
            self.assertEqual(feed.HistoryGone(after), result.error)

        run(check)


class EpochTest(testtools.TestCase):
    """The store is restored from a copy and assigns revisions again."""

    def test_read_and_watch_return_the_epoch(self):
        async def check(standin, client):
            standin.epoch = 4
            standin.put_json("servers/i-1", builders.entry())
            batch = (await client.read()).ok.batch
            self.assertEqual((4, standin.revision), batch.position)
            changes = (await client.watch(batch.position, 0.05)).ok.batch
            self.assertEqual(batch.position, changes.position)

        run(check)

    def test_watch_rejects_events_with_reassigned_revisions(self):
        async def check(standin, client):
            standin.epoch = 4
            copy = standin.copy()
            standin.put_json("servers/i-1", builders.entry())
            position = (await client.read()).ok.batch.position
            standin.restore(copy)
            standin.put_json("servers/i-2", builders.entry())
            standin.put_json("servers/i-3", builders.entry())
            result = await client.watch(position, 0.5)
            self.assertEqual(feed.HistoryGone(position), result.error)
            batch = (await client.read()).ok.batch
            self.assertEqual(5, batch.epoch)

        run(check)

    def test_watch_after_a_revision_that_the_copy_lacks(self):
        async def check(standin, client):
            standin.epoch = 4
            copy = standin.copy()
            standin.put_json("servers/i-1", builders.entry())
            position = (await client.read()).ok.batch.position
            standin.restore(copy)
            result = await client.watch(position, 0.05)
            self.assertEqual(feed.HistoryGone(position), result.error)

        run(check)

    def test_read_starts_again_if_the_epoch_changes_between_pages(self):
        async def check(standin, client):
            standin.epoch = 4
            copy = standin.copy()
            for number in range(users_store.PAGE_SIZE + 5):
                standin.put_json(f"servers/i-{number:03d}", builders.entry())
            answer_range = standin._range
            pages = []

            def range_then_restore(query):
                pages.append(query.get("after"))
                if len(pages) == 2:
                    standin.restore(copy)
                    standin.put_json("servers/i-x", builders.entry())
                return answer_range(query)

            standin._range = range_then_restore
            batch = (await client.read()).ok.batch
            self.assertEqual(5, batch.epoch)
            self.assertEqual(["servers/i-x"], [e.key for e in batch.items])

        run(check)

    def test_implausible_epoch_is_a_fault(self):
        async def check(standin, client):
            standin.epoch = 7
            self.assertTrue((await client.read()).is_ok())
            for epoch in ("", "x", "-1", "9" * 40, "90000", None):
                standin.epoch = epoch
                result = await client.read()
                self.assertIsInstance(result.error, interfaces.BadAnswer)
            standin.epoch = 6
            result = await client.read()
            self.assertEqual((6, 7), result.error[1:])
            standin.epoch = 8
            self.assertTrue((await client.read()).is_ok())

        run(check)
