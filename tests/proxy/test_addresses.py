import testtools
import trio

from primrosemill.proxy import addresses
from tests.builders import configuration
from tests.builders import vms as builders

LIMIT = 30  # seconds; a hang ends as a failure.
COUNT = 6


async def until(condition):
    while not await condition():
        await trio.sleep(0.02)


class AddressesTest(testtools.TestCase):
    def run_with(self, check):
        async def run():
            with trio.fail_after(LIMIT):
                async with trio.open_nursery() as nursery:
                    fleet = builders.Fleet(nursery)
                    service = configuration.service_value(demand=60.0)
                    await fleet.open(configuration.published(service))
                    await check(fleet, await fleet.start_all(COUNT))
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_all_vms_name_the_same_homes_in_every_failure_domain(self):
        async def check(fleet, vms):
            async def agreed():
                answers = [
                    await builders.ask(vm, "reservations") for vm in vms
                ]
                return len(set(map(frozenset, answers))) == 1

            await until(agreed)
            named = await builders.ask(vms[0], "reservations")
            domains = {
                vm.daemon.read_status()["domain"]
                for vm in vms
                if vm.callers in named
            }
            self.assertEqual(3, len(named))
            self.assertEqual(set(configuration.DOMAINS), domains)

        self.run_with(check)

    def test_a_caller_gets_a_home_in_its_own_domain_first(self):
        async def check(fleet, vms):
            for domain in configuration.DOMAINS:
                named = await builders.ask(
                    vms[0], "reservations", "baker", domain
                )
                first = next(vm for vm in vms if vm.callers == named[0])
                self.assertEqual(domain, first.daemon.read_status()["domain"])

        self.run_with(check)

    def test_a_leaving_vm_is_named_by_nobody(self):
        async def check(fleet, vms):
            named = await builders.ask(vms[0], "reservations")
            leaving = next(vm for vm in vms if vm.callers == named[0])
            staying = [vm for vm in vms if vm is not leaving]

            async def forgotten():
                answers = [
                    await builders.ask(vm, "reservations") for vm in staying
                ]
                return all(leaving.callers not in each for each in answers)

            async with trio.open_nursery() as stopping:
                stopping.start_soon(leaving.daemon.stop, "test")
                await until(forgotten)
            answer = await builders.ask(staying[0], "reservations")
            self.assertEqual(3, len(answer))

        self.run_with(check)

    def test_what_has_no_answer_is_a_typed_fault(self):
        async def check(fleet, vms):
            for query, status, fault in (
                ("", 400, b"MissingService"),
                ("?service=absent", 404, b"UnknownService"),
            ):
                response = await builders.get(
                    vms[0].callers, addresses.PATH + query
                )
                self.assertEqual(status, response.status)
                self.assertIn(fault, response.content)

        self.run_with(check)
