import testtools
import trio

from primrosemill.proxy import address_endpoint
from tests.builders import configuration
from tests.builders import vms as builders

TIME_LIMIT = 30  # seconds; turns a hang into a failure
VM_COUNT = 6


async def wait_until(condition):
    while not await condition():
        await trio.sleep(0.02)


class AddressesTest(testtools.TestCase):
    def run_with(self, check):
        async def run():
            with trio.fail_after(TIME_LIMIT):
                async with trio.open_nursery() as nursery:
                    fleet = builders.Fleet(nursery)
                    service = configuration.service_value(demand=60.0)
                    await fleet.start_platform(
                        configuration.published(service)
                    )
                    await check(fleet, await fleet.start_all(VM_COUNT))
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_all_vms_agree_on_home_vms_in_every_failure_domain(self):
        async def check(fleet, vms):
            async def is_agreed():
                answers = [
                    await builders.resolve_addresses(vm, "reservations")
                    for vm in vms
                ]
                return len(set(map(frozenset, answers))) == 1

            await wait_until(is_agreed)
            home_addresses = await builders.resolve_addresses(
                vms[0], "reservations"
            )
            domains = {
                vm.daemon.read_status()["domain"]
                for vm in vms
                if vm.caller_address in home_addresses
            }
            self.assertEqual(3, len(home_addresses))
            self.assertEqual(set(configuration.DOMAINS), domains)

        self.run_with(check)

    def test_home_vm_in_the_domain_of_the_caller_comes_first(self):
        async def check(fleet, vms):
            for domain in configuration.DOMAINS:
                home_addresses = await builders.resolve_addresses(
                    vms[0], "reservations", "baker", domain
                )
                first = next(
                    vm for vm in vms if vm.caller_address == home_addresses[0]
                )
                self.assertEqual(domain, first.daemon.read_status()["domain"])

        self.run_with(check)

    def test_leaving_vm_is_in_no_answer(self):
        async def check(fleet, vms):
            home_addresses = await builders.resolve_addresses(
                vms[0], "reservations"
            )
            leaving = next(
                vm for vm in vms if vm.caller_address == home_addresses[0]
            )
            staying = [vm for vm in vms if vm is not leaving]

            async def is_unnamed():
                answers = [
                    await builders.resolve_addresses(vm, "reservations")
                    for vm in staying
                ]
                return all(
                    leaving.caller_address not in each for each in answers
                )

            async with trio.open_nursery() as stopping:
                stopping.start_soon(leaving.daemon.stop, "test")
                await wait_until(is_unnamed)
            answer = await builders.resolve_addresses(
                staying[0], "reservations"
            )
            self.assertEqual(3, len(answer))

        self.run_with(check)

    def test_invalid_question_gets_a_typed_fault(self):
        async def check(fleet, vms):
            for query, status, fault in (
                ("", 400, b"MissingService"),
                ("?service=absent", 404, b"UnknownService"),
            ):
                response = await builders.get(
                    vms[0].caller_address, address_endpoint.PATH + query
                )
                self.assertEqual(status, response.status)
                self.assertIn(fault, response.content)

        self.run_with(check)
