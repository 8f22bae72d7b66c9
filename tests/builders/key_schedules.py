"""Plays schedules of messages, delays and requests around a withdrawn key.

A link that is cut is a schedule without messages over it, and a VM that is
suspended is one that handles what arrives late.
"""

import heapq
import itertools
import typing

import hypothesis.strategies as st

from primrosemill.decisions import feed_age

from primrosemill.decisions.customers import freshness

VM_COUNT = 4
READER_COUNT = 2
DURATION = 20.0  # seconds
INTERVAL = 0.5  # seconds between what a VM does regularly
LATENCY = 0.01  # seconds
BEFORE = feed_age.Version(0, 1)
AFTER = feed_age.Version(0, 2)  # Without the key.


class Step(typing.NamedTuple):
    """One thing that happens at a time; a delay lies before each reply.

    ``kind`` is "read" for a call of a VM to the store, "ask" for a question to
    another VM, "push" for a configuration sent to another one, and "request"
    for a request with the key.
    """

    kind: str
    time: float
    vm: int
    other: int
    first_delay: float
    second_delay: float


class Run(typing.NamedTuple):
    """A request whose first byte went to an instance at a time."""

    vm: int
    sent_at: float
    first_byte: float


class _Vm:
    """One VM, with a clock of its own."""

    def __init__(self, offset: float) -> None:
        self.offset = offset
        self.version = BEFORE
        self.knowledge = freshness.Knowledge()
        self.knowledge.apply_version(BEFORE)

    def age(self, now: float) -> float:
        return self.knowledge.age(now + self.offset)

    def apply(self, version: feed_age.Version) -> None:
        self.version = max(self.version, version)
        self.knowledge.apply_version(self.version)


class Model:
    """A fleet whose store withdraws the key at a time.

    Requests are served while the knowledge of a VM is no older than
    ``max_age``.
    """

    def __init__(
        self,
        offsets: typing.Iterable[float],
        withdrawn_at: float,
        max_age: float,
    ) -> None:
        self.vms = [_Vm(offset) for offset in offsets]
        self.withdrawn_at = withdrawn_at
        self.max_age = max_age
        self.runs: list[Run] = []
        self._queue: list[tuple[float, int, typing.Callable]] = []
        self._numbers = itertools.count()

    def play(self, steps: typing.Iterable[Step]) -> None:
        """Play a schedule to its end."""
        for step in steps:
            self._at(step.time, getattr(self, f"_{step.kind}"), step)
        while self._queue:
            now, _, action, arguments = heapq.heappop(self._queue)
            action(now, *arguments)

    def _at(self, time: float, action: typing.Callable, *arguments) -> None:
        heapq.heappush(
            self._queue, (time, next(self._numbers), action, arguments)
        )

    def _read(self, now: float, step: Step) -> None:
        sent_at = now + self.vms[step.vm].offset
        self._at(now + step.first_delay, self._take_copy, step, sent_at)

    def _take_copy(self, now: float, step: Step, sent_at: float) -> None:
        version = AFTER if now >= self.withdrawn_at else BEFORE
        self._at(
            now + step.second_delay, self._end_read, step, sent_at, version
        )

    def _end_read(
        self, now: float, step: Step, sent_at: float, version
    ) -> None:
        vm = self.vms[step.vm]
        vm.apply(version)
        vm.knowledge.record_read(sent_at)

    def _ask(self, now: float, step: Step) -> None:
        asked_at = now + self.vms[step.vm].offset
        self._at(now + step.first_delay, self._answer, step, asked_at)

    def _answer(self, now: float, step: Step, asked_at: float) -> None:
        other = self.vms[step.other]
        answer = freshness.Answer(other.version, other.age(now))
        self._at(
            now + step.second_delay, self._end_ask, step, asked_at, answer
        )

    def _end_ask(
        self, now: float, step: Step, asked_at: float, answer
    ) -> None:
        vm = self.vms[step.vm]
        vm.knowledge.record_answer(asked_at, answer)

    def _push(self, now: float, step: Step) -> None:
        version = self.vms[step.vm].version
        self._at(now + step.first_delay, self._end_push, step, version)

    def _end_push(self, now: float, step: Step, version) -> None:
        self.vms[step.other].apply(version)

    def _request(self, now: float, step: Step) -> None:
        self._at(now + step.first_delay, self._arrive, step)

    def _arrive(self, now: float, step: Step) -> None:
        if self._may_run(step.vm, now):
            self._at(now + step.second_delay, self._send, step)

    def _send(self, now: float, step: Step) -> None:
        if self._may_run(step.vm, now):
            self.runs.append(Run(step.vm, step.time, now))

    def _may_run(self, number: int, now: float) -> bool:
        vm = self.vms[number]
        return vm.version == BEFORE and vm.age(now) <= self.max_age


class Span(typing.NamedTuple):
    """A time in which something does not work at a VM, in seconds."""

    vm: int
    start: float
    length: float

    def covers(self, vm: int, time: float) -> bool:
        """Return whether a VM is affected at a time."""
        return self.vm == vm and 0.0 <= time - self.start < self.length


class Faults(typing.NamedTuple):
    """The times in which VMs are cut off or suspended."""

    from_store: list[Span]
    from_peers: list[Span]
    suspended: list[Span]
    # VMs that no reader pushes the configuration to.
    unpushed: set[int]

    def regular_steps(self) -> list[Step]:
        """Return what VMs do at their usual intervals, as far as they can.

        The first two VMs read the store and push to the others, which ask
        them. All get requests, which some of them keep for a while.
        """
        steps = []
        for number in range(int(DURATION / INTERVAL)):
            time = number * INTERVAL
            for vm in range(VM_COUNT):
                steps += self._steps_of(vm, number % READER_COUNT, time)
        return steps

    def _steps_of(self, vm: int, reader: int, time: float) -> list[Step]:
        resumed = self._resume(vm, time)
        kept = self._resume(vm, resumed + LATENCY) - resumed
        steps = [Step("request", time, vm, vm, resumed - time, kept)]
        if resumed > time:
            return steps
        if vm < READER_COUNT:
            if not _is_affected(self.from_store, vm, time):
                steps.append(Step("read", time, vm, vm, LATENCY, kept))
            return steps
        if _is_affected(self.from_peers, vm, time) or (
            _is_affected(self.from_peers, reader, time)
        ):
            return steps
        answered = self._resume(reader, time + LATENCY) - time
        steps.append(Step("ask", time, vm, reader, answered, kept))
        if vm not in self.unpushed:
            steps.append(Step("push", time, reader, vm, kept, 0.0))
        return steps

    def _resume(self, vm: int, time: float) -> float:
        """Return when a VM handles what arrives at a time."""
        ends = [
            span.start + span.length
            for span in self.suspended
            if span.covers(vm, time)
        ]
        return max([time, *ends])


def _is_affected(spans: list[Span], vm: int, time: float) -> bool:
    return any(span.covers(vm, time) for span in spans)


VMS = st.integers(0, VM_COUNT - 1)
DELAYS = st.one_of(st.floats(0.0, 0.05), st.floats(0.0, 8.0))
# Steps beside the usual ones, with any delays.
STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(("read", "ask", "push", "request")),
        st.floats(0.0, DURATION),
        VMS,
        VMS,
        DELAYS,
        DELAYS,
    ),
    max_size=20,
)
SPANS = st.lists(
    st.builds(Span, VMS, st.floats(0.0, DURATION), st.floats(0.0, DURATION)),
    max_size=4,
)
FAULTS = st.builds(Faults, SPANS, SPANS, SPANS, st.sets(VMS))
OFFSETS = st.lists(st.floats(-1e6, 1e6), min_size=VM_COUNT, max_size=VM_COUNT)
