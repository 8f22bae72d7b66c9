"""Follows the published configuration and puts valid versions in force."""

import typing

import expression
import trio

from primrosemill.configuration import assembly
from primrosemill.configuration import document as documents
from primrosemill.configuration import values
from primrosemill.configuration import versions
from primrosemill.platform import interfaces
from primrosemill.telemetry import events

WATCH_WAIT = 30.0  # seconds
STORE_RETRY_PAUSE = 1.0  # seconds
UNKNOWN = ""  # digest, while the reader holds no value
OnDocument = typing.Callable[[documents.Document], None]


class Follower:
    """Watches the index and reads the parts that are new."""

    def __init__(
        self, fleet: str, store: interfaces.Store, on_document: OnDocument
    ) -> None:
        self._store = store
        self._on_document = on_document
        self._fleet = fleet
        self._in_force: assembly.Assembled | None = None
        self._reachable = True
        self.first = trio.Event()

    @property
    def document(self) -> documents.Document:
        """Return the version in force; version 0 before the first."""
        if self._in_force is None:
            return documents.empty_document(self._fleet)
        return self._in_force.document

    async def run(self) -> None:
        """Follow the store until cancelled."""
        known = UNKNOWN
        while True:
            result = await self._store.watch(
                values.INDEX_KEY, known, WATCH_WAIT
            )
            if result.is_error():
                self._note_unreachable(result.error)
                await trio.sleep(STORE_RETRY_PAUSE)
                continue
            self._note_reachable()
            if result.ok is None:
                continue
            taken = await self._take(result.ok)
            if taken.is_error():
                # A part could not be read: ask for the same index again.
                self._note_unreachable(taken.error)
                await trio.sleep(STORE_RETRY_PAUSE)
                continue
            known = values.digest(result.ok)

    async def _take(
        self, index_value: bytes
    ) -> expression.Result[None, interfaces.PlatformFault]:
        """Read the parts and put the version in force if it is valid."""
        index = assembly.decode_index(index_value)
        if index.is_error():
            _refuse(0, (index.error,))
            return expression.Ok(None)
        values_by_key = {}
        if self._in_force is not None:
            values_by_key.update(self._in_force.values_by_key)
        for key in values.part_keys(index.ok):
            if key in values_by_key:
                continue
            part = await self._store.read(key)
            if part.is_error():
                return expression.Error(part.error)
            values_by_key[key] = part.ok
        self._judge(index_value, values_by_key, index.ok["version"])
        return expression.Ok(None)

    def _judge(
        self, index_value: bytes, values_by_key: dict[str, bytes], version: int
    ) -> None:
        result = assembly.assemble(index_value, values_by_key, self._in_force)
        if result.is_error():
            _refuse(version, result.error)
            return
        accepted = versions.accept(self.document, result.ok.document)
        if accepted.is_error():
            _refuse(version, (accepted.error,))
            return
        self._in_force = result.ok
        self._on_document(self.document)
        events.emit(
            events.CONFIGURATION_IN_FORCE,
            version=version,
            digest=self.document.digest,
            services=len(self.document.services_by_name),
        )
        self.first.set()

    def _note_unreachable(self, fault: interfaces.PlatformFault) -> None:
        if self._reachable:
            self._reachable = False
            events.emit(events.STORE_UNREACHABLE, fault=repr(fault))

    def _note_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            events.emit(events.STORE_REACHABLE)


def _refuse(version: int, faults: tuple[typing.Any, ...]) -> None:
    events.emit(
        events.CONFIGURATION_REFUSED,
        version=version,
        faults=[repr(fault) for fault in faults],
    )
