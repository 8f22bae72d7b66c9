"""Builds messages, networks and a fake store for tests of the fleet."""

import random

import expression
import trio

from primrosemill.configuration import values
from primrosemill.decisions import evidence
from primrosemill.decisions import standings
from primrosemill.fleet import interfaces
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import wire
from primrosemill.measure import membership_network
from tests.builders import configuration

FLEET = configuration.FLEET
SECRET = b"secret"
PORT = 7000


def vm_id(number: int) -> str:
    return f"vm-{number}"


def ip(number: int) -> str:
    return f"10.0.0.{number + 1}"


def entry(number: int = 1, **changes) -> messages.Entry:
    domain = configuration.DOMAINS[number % 3]
    built = messages.Entry(vm_id(number), ip(number), PORT, domain, 1, 0)
    return built._replace(**changes)


def version(number: int = 1) -> messages.VersionInForce:
    return messages.VersionInForce(number, bytes([number]) * 16)


def ping(number: int = 1, **changes) -> messages.Ping:
    sender = entry(number)
    built = messages.Ping(7, vm_id(0), 1, sender, version(), ())
    return built._replace(**changes)


def sealer(
    number: int = 1,
    fleet: str = FLEET,
    secret: bytes = SECRET,
    incarnation: int = 1,
) -> wire.Sealer:
    sender = wire.Sender(fleet, vm_id(number), incarnation)
    return wire.Sealer(sender, wire.derive_key(secret))


def opener(number: int = 0) -> wire.Opener:
    return wire.Opener(FLEET, vm_id(number), wire.derive_key(SECRET))


def network(
    count: int, seed: int = 1, loss: float = 0.0
) -> membership_network.Network:
    """Build a network of VMs that have joined through one first peer."""
    built = membership_network.Network(random.Random(seed), loss)
    first_peers = (membership.Peer(ip(0), PORT),)
    for number in range(count):
        built.add(vm_id(number), ip(number), entry(number).domain, first_peers)
    built.run(8.0)
    return built


def instance_evidence(number: int = 0, **changes) -> evidence.InstanceEvidence:
    built = evidence.InstanceEvidence(
        f"res-{number}", 4.0, 20, standings.State.EJECTED
    )
    return built._replace(**changes)


def report(
    *instances: evidence.InstanceEvidence, number: int = 1
) -> evidence.Report:
    return evidence.Report(
        vm_id(number),
        entry(number).domain,
        "reservations",
        instances or (instance_evidence(),),
    )


class FakeStore:
    """A store in memory that can become unreachable.

    ``call_count`` counts the reads and watches.
    """

    def __init__(self, **published: bytes) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.reachable = True
        self.call_count = 0
        self._changed = trio.Event()

    def publish(self, values_by_key: dict[str, bytes]) -> None:
        self.values_by_key.update(values_by_key)
        self._changed.set()
        self._changed = trio.Event()

    async def read(self, key: str):
        self.call_count += 1
        await trio.lowlevel.checkpoint()
        if not self.reachable:
            return expression.Error(interfaces.Unreachable(key, "down"))
        if key not in self.values_by_key:
            return expression.Error(interfaces.AbsentKey(key))
        return expression.Ok(self.values_by_key[key])

    async def watch(self, key: str, known: str, wait: float):
        self.call_count += 1
        with trio.move_on_after(wait):
            while values.digest(self.values_by_key.get(key, b"")) == known:
                await self._changed.wait()
            return await self.read(key)
        return expression.Ok(None)
