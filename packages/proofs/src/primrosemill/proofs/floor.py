"""Models ejection by several VMs with lost, late and missing reports.

Every VM decides with :func:`primrosemill.decisions.ejection.decide` itself.
The evidence is adversarial: any VM may find any instance sick at any time.
A report may be lost, or wait in the network while the world moves on. The
owner of ejections may change, with all VMs agreeing on who it is.
"""

import typing

import minicheck

from primrosemill.decisions import ejection
from primrosemill.decisions import standings

EMPTY = frozenset()


class Guards(typing.NamedTuple):
    """The rules of the protocol; a test removes one at a time."""

    floor: bool = True  # Instances go out only above the floor.
    one_owner: bool = True  # Only one VM decides on ejections.
    settle: bool = True  # The owner hears all peers after a change.
    sent_later: bool = True  # Reports sent before the change do not count.


class Size(typing.NamedTuple):
    """How many VMs and instances the model has, and the floor."""

    vms: int
    instances: int
    floor: int
    handover: bool


class Mail(typing.NamedTuple):
    """A report under way, and whether it was sent since the last change."""

    out: frozenset[int]
    later: bool


class State(typing.NamedTuple):
    """The whole system.

    ``out`` holds what each VM has ejected; ``heard`` what each VM last
    heard from each other; ``mail`` what is under way; ``acks`` which peers
    the owner heard since the last change.
    """

    owner: int
    out: tuple[frozenset[int], ...]
    heard: tuple[frozenset[int], ...]
    mail: tuple[Mail | None, ...]
    acks: frozenset[int]


Step = tuple[str, State]


class FloorModel:
    """Lists the steps of the protocol and what must hold."""

    def __init__(self, size: Size, guards: Guards) -> None:
        self._size = size
        self._guards = guards
        self._vms = range(size.vms)
        self._all = frozenset(range(size.instances))
        self._pairs = [
            (sender, receiver)
            for sender in self._vms
            for receiver in self._vms
            if sender != receiver
            # Without a handover only the first VM's reports matter, and
            # those that it hears.
            and (size.handover or 0 in (sender, receiver))
        ]
        self._pair_number = {
            pair: number for number, pair in enumerate(self._pairs)
        }

    def protocol(self) -> minicheck.Protocol:
        """Return the model for the checker."""
        initial = State(
            0,
            (EMPTY,) * self._size.vms,
            (EMPTY,) * len(self._pairs),
            (None,) * len(self._pairs),
            EMPTY,
        )
        return minicheck.Protocol(
            name="floor",
            candidate=True,
            fields=State._fields,
            initial=initial,
            transitions=self._steps,
            invariants={
                "each VM keeps the floor": self._each_keeps_floor,
                "all VMs together keep the floor": self._all_keep_floor,
            },
        )

    def _each_keeps_floor(self, fields: dict) -> bool:
        return all(
            len(self._all - out) >= self._size.floor for out in fields["out"]
        )

    def _all_keep_floor(self, fields: dict) -> bool:
        ejected = EMPTY.union(*fields["out"])
        return len(self._all - ejected) >= self._size.floor

    def _steps(self, state: State) -> list[Step]:
        state = State(*state)
        steps = []
        for vm in self._vms:
            if vm == state.owner or not self._guards.one_owner:
                steps.extend(self._ejections(state, vm))
        steps.extend(self._returns(state))
        for sender, receiver in self._pairs:
            steps.extend(self._mails(state, sender, receiver))
        if self._size.handover:
            owner = (state.owner + 1) % self._size.vms
            changed = self._settle(state._replace(owner=owner))
            steps.append((f"vm {owner} becomes owner", changed))
        return steps

    def _ejections(self, state: State, vm: int) -> list[Step]:
        """Eject one more instance, whatever the evidence."""
        if self._guards.settle and len(state.acks) < self._size.vms - 1:
            return []
        steps = []
        for instance in sorted(self._all - state.out[vm]):
            out = self._decide(state, vm, instance)
            if out != state.out[vm]:
                label = f"vm {vm} ejects {instance}"
                steps.append((label, _with_out(state, vm, out)))
        return steps

    def _decide(self, state: State, vm: int, new: int) -> frozenset[int]:
        """Return what a VM has out after it finds one more sick."""
        if not self._guards.floor:
            return state.out[vm] | {new}
        elsewhere = EMPTY.union(
            *(
                heard
                for (_, receiver), heard in zip(
                    self._pairs, state.heard, strict=True
                )
                if receiver == vm
            )
        )
        suspects = [
            ejection.Suspect(
                str(each),
                1.0,
                standings.State.EJECTED,
                each in state.out[vm],
            )
            for each in sorted(state.out[vm] | {new})
        ]
        capacity = ejection.Capacity(
            frozenset(map(str, self._all)),
            frozenset(map(str, elsewhere)),
            self._size.floor,
        )
        state_by_id = ejection.decide(suspects, capacity)
        return frozenset(
            int(instance_id)
            for instance_id, decided in state_by_id.items()
            if decided is standings.State.EJECTED
        )

    def _returns(self, state: State) -> list[Step]:
        """Let an instance pass its trial at the owner."""
        steps = []
        owner = state.owner
        for instance in sorted(state.out[owner]):
            out = state.out[owner] - {instance}
            changed = self._settle(_with_out(state, owner, out))
            steps.append((f"vm {owner} brings back {instance}", changed))
        return steps

    def _mails(self, state: State, sender: int, receiver: int) -> list[Step]:
        """Send a report; deliver or lose the one that is under way."""
        number = self._pair_number[sender, receiver]
        mail = state.mail[number]
        if mail is None:
            later = not self._guards.sent_later or not _has_old(state)
            sent = _with_mail(state, number, Mail(state.out[sender], later))
            return [(f"vm {sender} reports to vm {receiver}", sent)]
        lost = _with_mail(state, number, None)
        heard = list(state.heard)
        heard[number] = mail.out
        taken = lost._replace(heard=tuple(heard))
        if receiver == state.owner:
            if mail.later or not self._guards.sent_later:
                taken = taken._replace(acks=state.acks | {sender})
        elif sender == state.owner:
            taken = self._follow(taken, receiver, mail.out)
        return [
            (f"report from vm {sender} to vm {receiver} is lost", lost),
            (f"vm {receiver} hears vm {sender}", taken),
        ]

    def _follow(self, state: State, vm: int, ejected: frozenset[int]) -> State:
        """Take the owner's ejections over, as far as the floor allows."""
        out = state.out[vm] & ejected
        changed = _with_out(state, vm, out)
        for instance in sorted(ejected - out):
            out = self._decide(changed, vm, instance)
            changed = _with_out(changed, vm, out)
        return changed

    def _settle(self, state: State) -> State:
        """Start to hear every peer anew; what is under way is older."""
        mail = tuple(
            None if each is None else each._replace(later=False)
            for each in state.mail
        )
        return state._replace(acks=EMPTY, mail=mail)


def _with_out(state: State, vm: int, out: frozenset[int]) -> State:
    outs = list(state.out)
    outs[vm] = out
    return state._replace(out=tuple(outs))


def _has_old(state: State) -> bool:
    """Tell whether a report from before the last change is under way.

    Reports are dropped after the longest delay. So once the owner has waited
    for that long none is left, and what peers send from then on is later
    than all that they could hear from before.
    """
    return any(mail is not None and not mail.later for mail in state.mail)


def _with_mail(state: State, number: int, mail: Mail | None) -> State:
    mails = list(state.mail)
    mails[number] = mail
    return state._replace(mail=tuple(mails))


def check(
    size: Size, guards: Guards, max_states: int
) -> dict[str, typing.Any]:
    """Return the checker's report on the model."""
    protocol = FloorModel(size, guards).protocol()
    return minicheck.check_safety(protocol, max_states=max_states)
