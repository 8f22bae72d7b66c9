"""Model of configuration versions with a stale store, restarts and cut links.

Two VMs read a store that may return any version ever published. They report
their versions to and pull from each other over links that may be cut in one
direction, and restart at any time. All decisions are those of
:class:`primrosemill.fleet.version_tracker.VersionTracker`; the model only
generates the events around it. Version 2 is published twice, with different
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
    """Content of a published document; version 0 stands for none."""

    version: int
    variant: str


NO_CONTENT = Content(0, "")
CONTENTS = (
    Content(1, "a"),
    Content(2, "a"),
    Content(2, "b"),
    Content(3, "a"),
)


class Guards(typing.NamedTuple):
    """Rules of the protocol; tests disable one at a time."""

    rising: bool = True  # The version in force never falls.
    one_content: bool = True  # A version in force keeps its content.
    wait_for_peers: bool = True  # A start waits for the peers' versions.


ALL_GUARDS = Guards()


class StartWait:
    """How long a starting VM has waited, as steps of the model."""

    NONE = 0
    PEER_VERSION = 1
    CATCH_UP = 2


SECONDS_BY_WAIT = {
    StartWait.NONE: 0.0,
    StartWait.PEER_VERSION: version_tracker.PEER_VERSION_TIMEOUT,
    StartWait.CATCH_UP: version_tracker.CATCH_UP_TIMEOUT,
}


class Vm(typing.NamedTuple):
    """State of a VM; ``peer_version`` is the highest one reported to it."""

    serving: bool = False
    content: Content = NO_CONTENT
    peer_version: int = 0
    wait: int = StartWait.NONE


class State(typing.NamedTuple):
    """State of the system.

    ``links`` tells for each VM whether its messages reach the other one,
    ``highest_served`` is the highest version that VM 0 has served, and
    ``violation`` names the invariant that the last step violated.
    """

    published_version: int = 1
    store: Content = NO_CONTENT
    vms: tuple[Vm, Vm] = (Vm(), Vm())
    links: tuple[bool, bool] = (True, True)
    highest_served: int = 0
    violation: str = ""


class Step(typing.NamedTuple):
    """A labelled transition."""

    label: str
    state: State


VERSION_FELL = "the version in force fell"
CONTENT_REPLACED = "the content changed under the same version"
STARTED_BELOW_PEER = "a VM started below the version that a peer reported"
RESTARTED_BELOW = "a VM restarted below the version it served before"


@functools.cache
def index_value(content: Content) -> bytes:
    """Return the index that is published for a content."""
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


def _build_tracker(content: Content) -> version_tracker.VersionTracker:
    tracker = version_tracker.VersionTracker(FLEET, random.Random(0), 0.0)
    if content != NO_CONTENT:
        value = index_value(content)
        tracker.offer(
            value, {values.INDEX_KEY: value}, version_tracker.Source.STORE
        )
    return tracker


@functools.cache
def content_after(held: Content, offered: Content, guards: Guards) -> Content:
    """Return the content that a VM holds after an offer."""
    if not guards.rising and offered.version < held.version:
        return offered
    if not guards.one_content and offered.version == held.version:
        return offered
    tracker = _build_tracker(held)
    value = index_value(offered)
    result = tracker.offer(
        value, {values.INDEX_KEY: value}, version_tracker.Source.STORE
    )
    return offered if result.is_ok() and result.ok else held


@functools.cache
def may_serve(
    held: Content, peer_version: int, wait: int, guards: Guards
) -> bool:
    """Tell whether a starting VM may put its content in force."""
    if not guards.wait_for_peers:
        return held != NO_CONTENT
    tracker = _build_tracker(held)
    if peer_version:
        tracker.record_peer_version(
            "peer", messages.VersionInForce(peer_version, b"p" * 16)
        )
    return tracker.is_ready(SECONDS_BY_WAIT[wait])


class _Model:
    def __init__(self, guards: Guards, track_restarts: bool) -> None:
        self._guards = guards
        self._track_restarts = track_restarts

    def transitions(self, state: State) -> list[Step]:
        """Return every step that may follow a state."""
        state = State(*state)
        if state.violation:
            return []
        steps = self._environment_steps(state)
        for vm_index in (0, 1):
            steps += self._vm_steps(state, vm_index)
        return steps

    def _environment_steps(self, state: State) -> list[Step]:
        steps = []
        if state.published_version < LAST_VERSION:
            version = state.published_version + 1
            steps.append(
                Step("publish", state._replace(published_version=version))
            )
        for content in (NO_CONTENT, *CONTENTS):
            if content.version <= state.published_version:
                steps.append(
                    Step(f"store shows {content}", _with_store(state, content))
                )
        for direction in (0, 1):
            links = list(state.links)
            links[direction] = not links[direction]
            steps.append(
                Step(f"link {direction}", state._replace(links=tuple(links)))
            )
        return steps

    def _vm_steps(self, state: State, vm_index: int) -> list[Step]:
        vm = state.vms[vm_index]
        peer = state.vms[1 - vm_index]
        steps = [
            Step(f"restart {vm_index}", _with_vm(state, vm_index, Vm())),
        ]
        if state.store != NO_CONTENT:
            steps.append(
                Step(
                    f"read {vm_index}",
                    self._offer(state, vm_index, state.store),
                )
            )
        if peer.serving and state.links[1 - vm_index]:
            steps += self._peer_steps(state, vm_index, peer)
        if not vm.serving and vm.wait < StartWait.CATCH_UP:
            waited = vm._replace(wait=vm.wait + 1)
            steps.append(
                Step(f"wait {vm_index}", _with_vm(state, vm_index, waited))
            )
        if not vm.serving and may_serve(
            vm.content, vm.peer_version, vm.wait, self._guards
        ):
            steps.append(
                Step(f"serve {vm_index}", self._serve(state, vm_index))
            )
        return steps

    def _peer_steps(self, state: State, vm_index: int, peer: Vm) -> list[Step]:
        vm = state.vms[vm_index]
        steps = []
        if not vm.serving and peer.content.version > vm.peer_version:
            informed = vm._replace(peer_version=peer.content.version)
            steps.append(
                Step(f"hear {vm_index}", _with_vm(state, vm_index, informed))
            )
        if state.links[vm_index]:
            pulled = self._offer(state, vm_index, peer.content)
            steps.append(Step(f"pull {vm_index}", pulled))
        return steps

    def _offer(self, state: State, vm_index: int, offered: Content) -> State:
        vm = state.vms[vm_index]
        after = content_after(vm.content, offered, self._guards)
        if after == vm.content:
            return state
        changed = _with_vm(state, vm_index, vm._replace(content=after))
        if not vm.serving:
            return changed
        if after.version < vm.content.version:
            return changed._replace(violation=VERSION_FELL)
        if after.version == vm.content.version:
            return changed._replace(violation=CONTENT_REPLACED)
        return self._record_served(changed, vm_index)

    def _serve(self, state: State, vm_index: int) -> State:
        vm = state.vms[vm_index]
        served = _with_vm(state, vm_index, Vm(True, vm.content))
        gave_up = vm.wait == StartWait.CATCH_UP
        if vm.content.version < vm.peer_version and not gave_up:
            return served._replace(violation=STARTED_BELOW_PEER)
        return self._record_served(served, vm_index)

    def _record_served(self, state: State, vm_index: int) -> State:
        """Record the highest version that VM 0 has served."""
        if not self._track_restarts or vm_index != 0:
            return state
        version = state.vms[0].content.version
        if version < state.highest_served:
            return state._replace(violation=RESTARTED_BELOW)
        return state._replace(highest_served=version)


def _with_store(state: State, content: Content) -> State:
    return state._replace(store=content)


def _with_vm(state: State, vm_index: int, vm: Vm) -> State:
    vms = list(state.vms)
    vms[vm_index] = vm
    return state._replace(vms=tuple(vms))


def _is_converged(fields: dict[str, typing.Any]) -> bool:
    return all(
        vm.serving and vm.content.version == LAST_VERSION
        for vm in fields["vms"]
    )


def _never(violation: str) -> typing.Callable[[dict[str, typing.Any]], bool]:
    return lambda fields: fields["violation"] != violation


def build(
    guards: Guards = ALL_GUARDS, track_restarts: bool = False
) -> minicheck.Protocol:
    """Return the model, in which some guards may be disabled."""
    invariants = {
        "never_falls": _never(VERSION_FELL),
        "one_content": _never(CONTENT_REPLACED),
        "starts_not_below_heard": _never(STARTED_BELOW_PEER),
        "restarts_not_below": _never(RESTARTED_BELOW),
    }
    return minicheck.Protocol(
        name="configuration_versions",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=_Model(guards, track_restarts).transitions,
        invariants=invariants,
        goal=_is_converged,
    )
