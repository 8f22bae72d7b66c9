import contextlib
import pathlib
import subprocess
import sys
import tempfile

import testtools
import trio

from primrosemill.configuration import files
from primrosemill.fleet import interfaces
from primrosemill.published import bounded_client
from primrosemill.published import over_http
from tests.builders import configuration as builders

COMMAND = (sys.executable, "-m", "primrosemill.standins")
ANY_PORT = "127.0.0.1:0"
TIMEOUT = 60.0  # seconds


@contextlib.asynccontextmanager
async def running_standin(*arguments):
    """Run a stand-in as a process and yield its address."""
    process = await trio.lowlevel.open_process(
        [*COMMAND, *arguments], stdout=subprocess.PIPE
    )
    try:
        with trio.fail_after(TIMEOUT):
            line = await process.stdout.receive_some()
            yield line.decode().split()[-1]
    finally:
        process.kill()
        await process.wait()


class CommandTest(testtools.TestCase):
    def test_the_platform_serves_a_file_and_reloads_it(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "published.tsv"

        async def body():
            async with running_standin(
                "platform", ANY_PORT, str(path)
            ) as address:
                store = over_http.HttpStore(address)
                result = await store.read("index")
                self.assertIsInstance(result.error, interfaces.Refused)
                published = builders.published()
                await trio.Path(path).write_bytes(files.encode(published))
                while result.is_error():
                    result = await store.read("index")
                self.assertEqual(published["index"], result.ok)
                await store.aclose()

        trio.run(body)

    def test_an_instance_responds_with_its_id(self):
        async def body():
            async with running_standin(
                "instance", ANY_PORT, "--id", "res-7"
            ) as address:
                client = bounded_client.Client(address, 1_000)
                result = await client.get("/", TIMEOUT)
                self.assertEqual(b" res-7", result.ok.content)
                await client.aclose()

        trio.run(body)

    def test_malformed_addresses_exit_with_2(self):
        for address in ("9000", "127.0.0.1:", "127.0.0.1:x"):
            completed = subprocess.run(
                [*COMMAND, "instance", address], stderr=subprocess.DEVNULL
            )
            self.assertEqual(2, completed.returncode)
