"""Measures caps of customers over simulated fleets, in virtual time.

For each fleet, customer and load: the most requests run in a window as a part
of what is allowed, those served as a part of what one bucket for the whole
fleet would serve, the part that waited for an answer, and the messages.
Processor times are those of this machine.
"""

import random
import time
import typing

import click

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms
from primrosemill.measure import cap_simulation

from primrosemill.decisions.customers import cap_agent
from primrosemill.decisions.customers import cap_authority
from primrosemill.decisions.customers import cap_messages
from primrosemill.decisions.customers import caps

WARM_TIME = 20.0  # seconds in which views settle and buckets fill
DOMAIN_COUNT = 3
CAPACITIES = (100, 200, 400)  # requests per second
CAP_FACTOR = 1.6  # a cap as a multiple of the usual rate
SPIKE = 7.5  # times the usual rate
VM_RATE = 14.0  # requests per second of a VM, on average
LARGE_PART = 0.25  # of all requests, by one large customer
SMALL_RATE = 3.0  # requests per second
ENTRY_POINTS_BY_VMS = {32: 12, 109: 45, 300: 120, 690: 300}
COST_ROUNDS = 3_000
TARGET_RATE = 142.0  # requests per second of a VM
MICROSECONDS_PER_SECOND = 1_000_000
# Incidents happen this long after the requests begin.
INCIDENT_TIME = 5.0  # seconds


class Case(typing.NamedTuple):
    """A fleet, a customer and its requests.

    Rates are in requests per second; ``load`` is a multiple of the usual rate
    ``usual``. ``burst`` is in seconds of the cap's rate.
    """

    vm_count: int
    usual: float
    load: float
    one_domain: bool = False
    any_vm: bool = False
    burst: float = 1.0
    incident: str = ""


class Figures(typing.NamedTuple):
    """The results of a case."""

    most: float
    served: float
    waited: float
    unavailable: float
    message_rate: float
    messages_per_request: float
    byte_rate: float


def _fleet(case: Case, generator: random.Random) -> cap_simulation.CapFleet:
    vms = [
        home_vms.Vm(
            f"vm-{number:03}",
            f"domain-{number % DOMAIN_COUNT}",
            generator.choice(CAPACITIES),
        )
        for number in range(case.vm_count)
    ]
    rate = case.usual * CAP_FACTOR
    customer = documents.Customer(
        "customer", (), None, rate, rate * case.burst
    )
    entry_ids = {vm.id for vm in vms[: ENTRY_POINTS_BY_VMS[case.vm_count]]}
    return cap_simulation.CapFleet(
        vms, customer, generator, holder_ids=entry_ids
    )


def _schedule(
    fleet: cap_simulation.CapFleet,
    case: Case,
    generator: random.Random,
    end: float,
) -> None:
    """Let requests arrive one after the other."""
    vms = [each.vm for each in fleet.vms_by_id.values()]
    if not case.any_vm:
        vms = vms[: ENTRY_POINTS_BY_VMS[case.vm_count]]
    if case.one_domain:
        vms = [vm for vm in vms if vm.domain == "domain-0"]

    def arrive() -> None:
        fleet.request(generator.choice(vms).id)
        following = fleet.now + generator.expovariate(case.usual * case.load)
        if following < end:
            fleet.at(following, arrive)

    fleet.at(WARM_TIME, arrive)


def _cut(fleet: cap_simulation.CapFleet) -> None:
    vm_ids = sorted(fleet.vms_by_id)
    fleet.cut([vm_ids[::2], vm_ids[1::2]])


def _holder_id(fleet: cap_simulation.CapFleet) -> str:
    slot = caps.slot_of(caps.customer_id(fleet.customer.name))
    first = next(iter(fleet.vms_by_id.values()))
    return first.agent.authority.holder(slot)


_ACTIONS_BY_INCIDENT: dict[
    str, typing.Callable[[cap_simulation.CapFleet], None]
] = {
    "": lambda _: None,
    "cut": _cut,
    "holder lost": lambda fleet: fleet.kill(_holder_id(fleet)),
    "restart": lambda fleet: fleet.restart(_holder_id(fleet)),
    "planned": lambda fleet: fleet.leave(_holder_id(fleet), 3.0),
    "frozen": lambda fleet: fleet.freeze(_holder_id(fleet), 8.0),
}


def run_case(case: Case, seconds: float, seed: int = 1) -> Figures:
    """Play a case and return its figures."""
    generator = random.Random(seed)
    fleet = _fleet(case, generator)
    end = WARM_TIME + seconds
    _schedule(fleet, case, generator, end)
    incident = _ACTIONS_BY_INCIDENT[case.incident]
    fleet.at(WARM_TIME + INCIDENT_TIME, lambda: incident(fleet))
    fleet.play(end + 1.0)
    results = fleet.results
    bound = caps.Bound()
    best = cap_simulation.served_by_one_bucket(
        fleet.customer, results.arrived_at
    )
    most = cap_simulation.most_in_window(results.run_at, bound.window)
    arrived = max(1, len(results.arrived_at))
    waited = sum(wait > 0.0 for wait in results.waits)
    return Figures(
        most / caps.allowed(fleet.customer, bound),
        len(results.run_at) / max(1, len(best)),
        waited / max(1, len(results.waits)),
        len(results.unavailable_at) / arrived,
        results.message_count / seconds,
        results.message_count / arrived,
        results.byte_count / seconds,
    )


def _cases(vm_count: int) -> list[Case]:
    average = 20.0
    large = VM_RATE * vm_count * LARGE_PART
    calm = [
        Case(vm_count, usual, load, one_domain, any_vm)
        for usual in (SMALL_RATE, average, large)
        for load in (1.0, CAP_FACTOR, SPIKE)
        for one_domain, any_vm in (
            (False, False),
            (True, False),
            (False, True),
        )
    ]
    incidents = [
        Case(vm_count, average, load, incident=incident)
        for incident in _ACTIONS_BY_INCIDENT
        for load in (1.0, SPIKE)
        if incident
    ]
    return calm + incidents


def _print_row(case: Case, figures: Figures) -> None:
    place = "one domain" if case.one_domain else "all domains"
    if case.any_vm:
        place = "any VM"
    click.echo(
        f"{case.vm_count:4} {case.usual:8.0f} {case.load:5.1f} "
        f"{place:12}{case.incident:12}"
        f"{figures.most:7.3f}{figures.served:8.3f}{figures.waited:8.2f}"
        f"{figures.unavailable:8.3f}{figures.message_rate:10.0f}"
        f"{figures.messages_per_request:8.2f}"
        f"{figures.byte_rate / case.vm_count:9.0f}"
    )


def _choice_cost() -> float:
    """Return the processor time to choose the holder of a slot, in us."""
    vms = tuple(
        home_vms.Vm(f"vm-{number:03}", "domain-0", 100)
        for number in range(ENTRY_POINTS_BY_VMS[690])
    )
    authority = cap_authority.Authority("vm-000", 0.0)
    authority.set_view(cap_authority.View(vms, 690, 690), 0.0)
    started = time.process_time()
    for slot in range(caps.SLOT_COUNT):
        authority.holder(slot)
    elapsed = time.process_time() - started
    return elapsed / caps.SLOT_COUNT * MICROSECONDS_PER_SECOND


def _exchange_cost() -> float:
    """Return the processor time of a request with its messages, in us.

    Of two agents, one asks for a token for each request of another customer,
    and the other one grants it; sealing and sockets are not included.
    """
    customers = [
        documents.Customer(f"customer-{number}", (), None, 4.8, 4.8)
        for number in range(COST_ROUNDS)
    ]
    vms = tuple(home_vms.Vm(f"vm-{number}", "domain-0") for number in (0, 1))
    bound = caps.Bound()
    agents = [
        cap_agent.CapAgent(vm.id, bound, random.Random(1), 0.0) for vm in vms
    ]
    now = 0.0
    for position, agent in enumerate(agents):
        agent.set_customers(customers)
        agent.set_view(cap_authority.View(vms[1:], 2, 2, position), 0.0)
    for _ in range(40):
        now += 0.5
        for agent in agents:
            agent.step(now)
    started = time.process_time()
    count = 0
    for customer in customers:
        now += 1.0 / TARGET_RATE
        agents[0].acquire(customer, now)
        count += 1
        later = now + cap_agent.LAZY_BATCH_TIME
        for outgoing in agents[0].take_requests(later):
            answer = agents[1].answer_request(
                vms[0].id, outgoing.request, later
            )
            agents[0].apply_answer(
                vms[1].id, cap_messages.Answer(*answer), later
            )
        agents[0].take_settled()
    elapsed = time.process_time() - started
    return elapsed / max(1, count) * MICROSECONDS_PER_SECOND


@click.command()
@click.option("--vms", "vm_counts", multiple=True, type=int)
@click.option("--seconds", default=20.0, help="Virtual seconds of a case.")
@click.option("--seed", default=1)
def main(vm_counts: tuple[int, ...], seconds: float, seed: int) -> None:
    """Print what caps serve, and what they cost."""
    click.echo(
        " VMs    usual  load from        incident      most  served  waited"
        "  unavail messages/s  per request  B/s and VM"
    )
    for vm_count in vm_counts or tuple(ENTRY_POINTS_BY_VMS):
        for case in _cases(vm_count):
            _print_row(case, run_case(case, seconds, seed))
    click.echo(
        f"the holder of a slot, of {ENTRY_POINTS_BY_VMS[690]} VMs: "
        f"{_choice_cost():.0f} us, once for each of {caps.SLOT_COUNT} slots "
        "and view"
    )
    click.echo(
        f"a request that waits, both VMs, without sealing and sockets: "
        f"{_exchange_cost():.0f} us"
    )
