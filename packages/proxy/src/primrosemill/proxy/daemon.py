"""Runs one VM: follows the configuration and serves callers."""

import random
import typing

import trio

from primrosemill.configuration import assembly
from primrosemill.configuration import document as documents
from primrosemill.configuration import values
from primrosemill.configuration import versions
from primrosemill.platform import interfaces
from primrosemill.platform import over_http
from primrosemill.proxy import application
from primrosemill.proxy import server
from primrosemill.proxy import settings as proxy_settings

WATCH_WAIT = 30.0  # seconds
STORE_RETRY_PAUSE = 1.0  # seconds
HOUSEKEEPING_INTERVAL = 0.05  # seconds


class Ports(typing.NamedTuple):
    """The ports that a VM listens on."""

    caller_port: int


class Daemon:
    """Carries facts to the decisions and their results to the network."""

    def __init__(
        self,
        settings: proxy_settings.Settings,
        generator: random.Random,
        store: interfaces.Store | None = None,
    ) -> None:
        self._settings = settings
        self._store = store or over_http.HttpStore(settings.platform_address)
        self._application = application.Application(generator)
        self._server = server.Server(self._application)
        self._assembled: assembly.Assembled | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[Ports] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; reports its ports once it listens."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow_store)
            port = await nursery.start(
                self._server.run,
                self._settings.ip,
                self._settings.caller_port,
            )
            task_status.started(Ports(port))
            nursery.start_soon(self._keep_house)

    async def _keep_house(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL)
            self._application.keep_house()

    async def _follow_store(
        self, *, task_status: trio.TaskStatus[None]
    ) -> None:
        known = ""
        while True:
            result = await self._store.watch(
                values.INDEX_KEY, known, WATCH_WAIT
            )
            if result.is_error():
                await trio.sleep(STORE_RETRY_PAUSE)
                continue
            if result.ok is None:
                continue
            known = values.digest(result.ok)
            await self._take(result.ok)
            if task_status is not None:
                task_status.started()
                task_status = None

    async def _take(self, index_value: bytes) -> None:
        index = assembly.decode_index(index_value)
        if index.is_error():
            return
        values_by_key = dict(
            self._assembled.values_by_key if self._assembled else {}
        )
        for key in values.part_keys(index.ok):
            if key in values_by_key:
                continue
            part = await self._store.read(key)
            if part.is_error():
                return
            values_by_key[key] = part.ok
        result = assembly.assemble(index_value, values_by_key, self._assembled)
        if result.is_error():
            return
        in_force = documents.empty_document(self._settings.fleet)
        if self._assembled is not None:
            in_force = self._assembled.document
        if versions.accept(in_force, result.ok.document).is_error():
            return
        self._assembled = result.ok
        self._application.set_document(result.ok.document)
