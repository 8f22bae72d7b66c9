"""Models configuration versions with a stale store, restarts and cuts.

Two VMs read a store that may show any version ever published, hear each
other over links that may be cut in one direction, restart at any time, and
pull from each other. Every decision is taken by the real
:class:`primrosemill.fleet.version_tracker.VersionTracker`; the model only
knows what may happen around it. Version 2 is published twice, with two
contents.
"""

import functools
import random
import typing

import minicheck
import msgspec

from primrosemill.configuration import values
from primrosemill.fleet import messages
from primrosemill.fleet import version_tracker

FLEET = "proof"
LAST_VERSION = 3


class Content(typing.NamedTuple):
    """One published document; version 0 stands for none."""

    version: int
    variant: str


NOTHING = Content(0, "")
CONTENTS = (
    Content(1, "a"),
    Content(2, "a"),
    Content(2, "b"),
    Content(3, "a"),
)


class Guards(typing.NamedTuple):
    """The rules of the spread, each of which can be taken out."""

    rising: bool = True
    one_content: bool = True
    hold_back: bool = True


ALL_GUARDS = Guards()


class Wait:
    """How long a start has waited."""

    SHORT = 0
    FOR_PEERS = 1
    TO_CATCH_UP = 2


WAITED_SECONDS = {
    Wait.SHORT: 0.0,
    Wait.FOR_PEERS: version_tracker.PEER_VERSION_TIMEOUT,
    Wait.TO_CATCH_UP: version_tracker.CATCH_UP_TIMEOUT,
}


class Vm(typing.NamedTuple):
    """One VM: whether it serves, what it holds and what it has heard."""

    serving: bool = False
    content: Content = NOTHING
    heard: int = 0
    wait: int = Wait.SHORT


class State(typing.NamedTuple):
    """The system; ``broken`` names the promise that a step has broken."""

    published: int = 1
    store: Content = NOTHING
    vms: tuple[Vm, Vm] = (Vm(), Vm())
    links: tuple[bool, bool] = (True, True)
    served: int = 0
    broken: str = ""


class Step(typing.NamedTuple):
    """A labelled transition."""

    label: str
    state: State


FELL = "a version in force fell"
SWAPPED = "a content was replaced under its version"
STARTED_BELOW = "a start went below the version that it heard"
RESTARTED_BELOW = "a restart served less than the process before"


@functools.cache
def index_value(content: Content) -> bytes:
    """Return the published index of a content."""
    return msgspec.json.encode(
        {
            "fleet": FLEET,
            "version": content.version,
            "domains": [content.variant],
            "default_limit": {"rate": 1.0, "burst": 1},
            "services_by_name": {},
            "limits_by_shard": {},
        }
    )


def _spread_with(content: Content) -> version_tracker.VersionTracker:
    made = version_tracker.VersionTracker(FLEET, random.Random(0), 0.0)
    if content != NOTHING:
        value = index_value(content)
        made.offer(
            value, {values.INDEX_KEY: value}, version_tracker.Source.STORE
        )
    return made


@functools.cache
def content_after(held: Content, offered: Content, guards: Guards) -> Content:
    """Return what a VM holds after an offer."""
    if not guards.rising and offered.version < held.version:
        return offered
    if not guards.one_content and offered.version == held.version:
        return offered
    made = _spread_with(held)
    value = index_value(offered)
    result = made.offer(
        value, {values.INDEX_KEY: value}, version_tracker.Source.STORE
    )
    return offered if result.is_ok() and result.ok else held


@functools.cache
def may_serve(held: Content, heard: int, wait: int, guards: Guards) -> bool:
    """Tell whether a start may put what it holds in force."""
    if not guards.hold_back:
        return held != NOTHING
    made = _spread_with(held)
    if heard:
        made.record_peer_version(
            "peer", messages.VersionInForce(heard, b"p" * 16)
        )
    return made.is_ready(WAITED_SECONDS[wait])


class _Model:
    def __init__(self, guards: Guards, track_restarts: bool) -> None:
        self._guards = guards
        self._track_restarts = track_restarts

    def transitions(self, state: State) -> list[Step]:
        """Return every step that may happen next."""
        state = State(*state)
        if state.broken:
            return []
        steps = self._surroundings(state)
        for number in (0, 1):
            steps += self._vm_steps(state, number)
        return steps

    def _surroundings(self, state: State) -> list[Step]:
        steps = []
        if state.published < LAST_VERSION:
            published = state.published + 1
            steps.append(Step("publish", state._replace(published=published)))
        for content in (NOTHING, *CONTENTS):
            if content.version <= state.published:
                steps.append(
                    Step(f"store shows {content}", _show(state, content))
                )
        for direction in (0, 1):
            links = list(state.links)
            links[direction] = not links[direction]
            steps.append(
                Step(f"link {direction}", state._replace(links=tuple(links)))
            )
        return steps

    def _vm_steps(self, state: State, number: int) -> list[Step]:
        vm = state.vms[number]
        peer = state.vms[1 - number]
        steps = [
            Step(f"restart {number}", _with_vm(state, number, Vm())),
        ]
        if state.store != NOTHING:
            steps.append(
                Step(f"read {number}", self._offer(state, number, state.store))
            )
        if peer.serving and state.links[1 - number]:
            steps += self._peer_steps(state, number, peer)
        if not vm.serving and vm.wait < Wait.TO_CATCH_UP:
            waited = vm._replace(wait=vm.wait + 1)
            steps.append(
                Step(f"wait {number}", _with_vm(state, number, waited))
            )
        if not vm.serving and may_serve(
            vm.content, vm.heard, vm.wait, self._guards
        ):
            steps.append(Step(f"serve {number}", self._serve(state, number)))
        return steps

    def _peer_steps(self, state: State, number: int, peer: Vm) -> list[Step]:
        vm = state.vms[number]
        steps = []
        if not vm.serving and peer.content.version > vm.heard:
            heard = vm._replace(heard=peer.content.version)
            steps.append(
                Step(f"hear {number}", _with_vm(state, number, heard))
            )
        if state.links[number]:
            pulled = self._offer(state, number, peer.content)
            steps.append(Step(f"pull {number}", pulled))
        return steps

    def _offer(self, state: State, number: int, offered: Content) -> State:
        vm = state.vms[number]
        after = content_after(vm.content, offered, self._guards)
        if after == vm.content:
            return state
        changed = _with_vm(state, number, vm._replace(content=after))
        if not vm.serving:
            return changed
        if after.version < vm.content.version:
            return changed._replace(broken=FELL)
        if after.version == vm.content.version:
            return changed._replace(broken=SWAPPED)
        return self._note_served(changed, number)

    def _serve(self, state: State, number: int) -> State:
        vm = state.vms[number]
        served = _with_vm(state, number, Vm(True, vm.content))
        gave_up = vm.wait == Wait.TO_CATCH_UP
        if vm.content.version < vm.heard and not gave_up:
            return served._replace(broken=STARTED_BELOW)
        return self._note_served(served, number)

    def _note_served(self, state: State, number: int) -> State:
        """Remember the highest version that VM 0 ever served."""
        if not self._track_restarts or number != 0:
            return state
        version = state.vms[0].content.version
        if version < state.served:
            return state._replace(broken=RESTARTED_BELOW)
        return state._replace(served=version)


def _show(state: State, content: Content) -> State:
    return state._replace(store=content)


def _with_vm(state: State, number: int, vm: Vm) -> State:
    vms = list(state.vms)
    vms[number] = vm
    return state._replace(vms=tuple(vms))


def _is_converged(fields: dict[str, typing.Any]) -> bool:
    return all(
        vm.serving and vm.content.version == LAST_VERSION
        for vm in fields["vms"]
    )


def _keeps(promise: str) -> typing.Callable[[dict[str, typing.Any]], bool]:
    return lambda fields: fields["broken"] != promise


def build(
    guards: Guards = ALL_GUARDS, track_restarts: bool = False
) -> minicheck.Protocol:
    """Return the model; a guard that is off shows what it is for."""
    promises = {
        "never_falls": _keeps(FELL),
        "one_content": _keeps(SWAPPED),
        "starts_not_below_heard": _keeps(STARTED_BELOW),
        "restarts_not_below": _keeps(RESTARTED_BELOW),
    }
    return minicheck.Protocol(
        name="configuration_versions",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=_Model(guards, track_restarts).transitions,
        invariants=promises,
        goal=_is_converged,
    )
