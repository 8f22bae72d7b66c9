import testtools
import trio

from primrosemill.configuration import values
from primrosemill.fleet import interfaces
from primrosemill.published import over_http
from primrosemill.standins import asgi
from primrosemill.standins import platform
from primrosemill.standins import platform_modes as modes
from primrosemill.standins import raw_tcp

IP = "127.0.0.1"
CLOSED_ADDRESS = "127.0.0.1:1"
LONG_WAIT = 60.0  # seconds; longer than any test runs


async def wait_until(condition):
    while not condition():
        await trio.lowlevel.checkpoint()


class OverHttpTest(testtools.TestCase):
    """Runs coroutines against a stand-in on real sockets."""

    def run_with_standin(self, body):
        async def main():
            async with trio.open_nursery() as nursery:
                standin = platform.PlatformStandin()
                served = await nursery.start(asgi.serve, standin, IP)
                store = over_http.HttpStore(served.address)
                with trio.fail_after(30):
                    await body(nursery, standin, store)
                await store.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def run_against_bytes(self, answer, body, **changes):
        async def main():
            async with trio.open_nursery() as nursery:
                standin = raw_tcp.RawStandin(answer, **changes)
                served = await nursery.start(standin.serve, IP)
                with trio.fail_after(30):
                    await body(served.address)
                nursery.cancel_scope.cancel()

        trio.run(main)


class StoreTest(OverHttpTest):
    def test_read_returns_a_value_or_absent_key(self):
        async def body(nursery, standin, store):
            standin.publish({"service/a b/1": b"x" * values.VALUE_SIZE_LIMIT})
            result = await store.read("service/a b/1")
            self.assertEqual(values.VALUE_SIZE_LIMIT, len(result.ok))
            result = await store.read("other")
            self.assertEqual(interfaces.AbsentKey("other"), result.error)

        self.run_with_standin(body)

    def test_watch_returns_the_change_in_one_request(self):
        async def body(nursery, standin, store):
            standin.publish({"index": b"1"})
            first = (await store.watch("index", "", LONG_WAIT)).ok
            results = []

            async def watch():
                known = values.digest(first)
                results.append(await store.watch("index", known, LONG_WAIT))

            nursery.start_soon(watch)
            await wait_until(lambda: standin.waiting)
            calls = standin.calls
            standin.publish({"other": b"1"})
            standin.publish({"index": b"2"})
            await wait_until(lambda: results)
            self.assertEqual(b"2", results[0].ok)
            self.assertEqual(calls, standin.calls)

        self.run_with_standin(body)

    def test_watch_without_change_returns_none(self):
        async def body(nursery, standin, store):
            standin.publish({"index": b"1"})
            result = await store.watch("index", values.digest(b"1"), 0.01)
            self.assertIsNone(result.ok)

        self.run_with_standin(body)

    def test_read_and_watch_of_a_stale_view_return_its_values(self):
        async def body(nursery, standin, store):
            standin.publish({"index": b"1"})
            standin.mode = standin.snapshot()
            standin.publish({"index": b"2"})
            result = await store.watch("index", values.digest(b"2"), 1.0)
            self.assertEqual(b"1", result.ok)
            standin.mode = modes.Working()
            self.assertEqual(b"2", (await store.read("index")).ok)

        self.run_with_standin(body)

    def test_failed_views_do_not_affect_another_view(self):
        async def body(nursery, standin, store):
            standin.publish({"index": b"1"})
            stores = [store]
            for _ in range(9):
                view = standin.view()
                view.mode = modes.Down()
                served = await nursery.start(asgi.serve, view, IP)
                stores.append(over_http.HttpStore(served.address))
            results = [await each.read("index") for each in stores]
            self.assertEqual(1, sum(each.is_ok() for each in results))
            self.assertEqual(
                interfaces.Refused("index", 503), results[-1].error
            )
            self.assertEqual(10, standin.calls)
            for each in stores[1:]:
                await each.aclose()

        self.run_with_standin(body)

    def test_watch_returns_a_fault_when_the_store_goes_down(self):
        async def body(nursery, standin, store):
            standin.publish({"index": b"1"})
            results = []

            async def watch():
                known = values.digest(b"1")
                results.append(await store.watch("index", known, LONG_WAIT))

            nursery.start_soon(watch)
            await wait_until(lambda: standin.waiting)
            standin.mode = modes.Down()
            await wait_until(lambda: results)
            expected = interfaces.Refused("index", 503)
            self.assertEqual(expected, results[0].error)

        self.run_with_standin(body)


class StoreFaultTest(OverHttpTest):
    def shorten_timeouts(self):
        self.patch(over_http, "READ_TIMEOUT", 0.2)
        self.patch(over_http, "WATCH_MARGIN", 0.1)

    def test_hanging_store_times_out(self):
        self.shorten_timeouts()

        async def body(nursery, standin, store):
            standin.mode = modes.Hanging()
            result = await store.read("index")
            self.assertIsInstance(result.error, interfaces.TimedOut)
            result = await store.watch("index", "", 0.1)
            self.assertIsInstance(result.error, interfaces.TimedOut)

        self.run_with_standin(body)

    def test_store_that_trickles_bytes_times_out(self):
        self.shorten_timeouts()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n" + b"x" * 99

        async def body(address):
            store = over_http.HttpStore(address)
            result = await store.read("index")
            self.assertIsInstance(result.error, interfaces.TimedOut)

        self.run_against_bytes(answer, body, pause=0.01)

    def test_refused_connection_is_unreachable(self):
        async def body():
            store = over_http.HttpStore(CLOSED_ADDRESS)
            result = await store.read("index")
            self.assertIsInstance(result.error, interfaces.Unreachable)

        trio.run(body)

    def test_malformed_answer_is_unreachable(self):
        head = b"HTTP/1.1 200 OK\r\n"
        cases = [
            b"",
            b"\x00\xff not HTTP\r\n\r\n",
            head + b"content-length: 5\r\n\r\nab",
            head + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
            head + b"content-length: -1\r\n\r\n",
            head + b"x: " + b"y" * 200_000,
        ]

        async def body(address):
            result = await over_http.HttpStore(address).read("index")
            self.assertIsInstance(result.error, interfaces.Unreachable)

        for answer in cases:
            self.run_against_bytes(answer, body)

    def test_answer_over_the_size_limit_is_a_fault(self):
        async def body(nursery, standin, store):
            content = b"x" * (over_http.ANSWER_SIZE_LIMIT + 1)
            standin.mode = modes.FixedResponse(content)
            result = await store.read("index")
            self.assertIsInstance(result.error, interfaces.TooLarge)
            standin.mode = modes.FixedResponse(content[1:])
            self.assertTrue((await store.read("index")).is_ok())

        self.run_with_standin(body)

    def test_chunked_answer_over_the_size_limit_is_a_fault(self):
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

        async def body(address):
            result = await over_http.HttpStore(address).read("index")
            self.assertIsInstance(result.error, interfaces.TooLarge)

        self.run_against_bytes(head + chunk * 20, body)

    def test_request_is_retried_if_an_idle_connection_was_closed(self):
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"

        async def body(address):
            store = over_http.HttpStore(address)
            for _ in range(3):
                self.assertEqual(b"x", (await store.read("index")).ok)

        for lingers in (False, True):
            self.run_against_bytes(answer, body, lingers=lingers)


class VmListTest(OverHttpTest):
    def read(self, content, status=200):
        results = []

        async def body(nursery, standin, store):
            standin.mode = modes.FixedResponse(content, status)
            served = await nursery.start(asgi.serve, standin, IP)
            vm_list = over_http.HttpVmList(served.address)
            results.append(await vm_list.read())
            await vm_list.aclose()

        self.run_with_standin(body)
        return results[0]

    def test_read_lists_only_live_and_leaving_vms(self):
        async def body(nursery, standin, store):
            standin.vms.extend(
                {"id": state, "ip": IP, "domain": "a", "state": state}
                for state in ("live", "leaving", "unheard-of")
            )
            served = await nursery.start(asgi.serve, standin, IP)
            vm_list = over_http.HttpVmList(served.address)
            listed = (await vm_list.read()).ok
            self.assertEqual(["live", "leaving"], [vm.id for vm in listed])
            self.assertEqual([False, True], [vm.leaving for vm in listed])
            await vm_list.aclose()

        self.run_with_standin(body)

    def test_malformed_list_is_a_fault(self):
        line = b'{"id":"a","ip":"%s","domain":"d","state":"live"}'
        cases = [
            b"",
            b"[]",
            b'{"vms":[1]}',
            b'{"vms":[%s]}' % (line % b"localhost"),
            b'{"vms":[],"x":%s%s}' % (b"[" * 100_000, b"]" * 100_000),
        ]
        for content in cases:
            result = self.read(content)
            self.assertIsInstance(result.error, interfaces.BadAnswer)

    def test_error_status_is_a_fault(self):
        result = self.read(b'{"vms":[]}', 500)
        self.assertEqual(interfaces.Refused("vms", 500), result.error)
