import os
import pathlib
import signal
import tempfile

import testtools
import trio

from primrosemill.proxy import entry_settings
from primrosemill.proxy import settings_faults as faults
from primrosemill.proxy import settings_reloading
from tests.builders import entry_settings as builders
from tests.builders import settings as settings_builders

DEPLOY_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "deploy.md"


class EntrySettingsTest(testtools.TestCase):
    def test_complete_file_has_no_fault(self):
        result = entry_settings.parse(builders.text("127.0.0.2:8146"), "x.ini")
        self.assertEqual(("127.0.0.2:8146",), result.ok.first_peers)
        fleet_settings = result.ok.vm_settings()
        self.assertEqual("127.0.0.1", fleet_settings.ip)
        self.assertEqual(8146, fleet_settings.peer_port)

    def test_empty_list_of_peers_is_no_fault(self):
        result = entry_settings.parse(builders.text(), "x.ini")
        self.assertEqual((), result.ok.first_peers)

    def test_all_faults_are_reported(self):
        text = builders.text().replace("127.0.0.1:8144", "localhost")
        text = text.replace("domain = ain-sebaa\n", "odd = 1\n")
        found_faults = entry_settings.parse(text, "x.ini").error
        self.assertEqual(
            {faults.UnknownKey, faults.MissingKey, faults.WrongType},
            set(map(type, found_faults)),
        )

    def test_page_lists_the_keys_of_the_schema(self):
        self.assertEqual(
            settings_builders.key_rows(entry_settings.KEYS),
            settings_builders.page_rows(DEPLOY_PAGE.read_text()),
        )


class ReloadingTest(testtools.TestCase):
    def follow(self, trigger_reload, change_before=lambda path: None):
        """Return the peers and causes of the reloads after a trigger.

        ``change_before`` is called after the file was read for the first
        time and before it is followed.
        """
        reloaded = []

        async def main(path):
            stamp = settings_reloading.read_stamp(path)
            change_before(path)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    settings_reloading.follow,
                    path,
                    stamp,
                    lambda settings, cause: reloaded.append(
                        (settings.first_peers, cause)
                    ),
                )
                await trio.sleep(0.1)
                trigger_reload(path)
                await trio.sleep(settings_reloading.CHECK_INTERVAL + 0.3)
                nursery.cancel_scope.cancel()

        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.ini"
            path.write_text(builders.text())
            trio.run(main, path)
        return reloaded

    def test_changed_file_is_reloaded_without_a_signal(self):
        peers = ("127.0.0.9:8146",)
        reloads = self.follow(
            lambda path: path.write_text(builders.text(*peers))
        )
        self.assertEqual([(peers, settings_reloading.CHANGED)], reloads)

    def test_change_while_the_vm_starts_is_not_missed(self):
        # The signal of such a change is ignored while the VM starts.
        peers = ("127.0.0.9:8146",)
        reloads = self.follow(
            lambda path: None,
            lambda path: path.write_text(builders.text(*peers)),
        )
        self.assertEqual([(peers, settings_reloading.CHANGED)], reloads)

    def test_signal_reloads_the_file(self):
        reloads = self.follow(lambda path: os.kill(os.getpid(), signal.SIGHUP))
        self.assertEqual([((), "SIGHUP")], reloads)

    def test_file_with_faults_is_not_applied(self):
        reloads = self.follow(lambda path: path.write_text("[vm]\n"))
        self.assertEqual([], reloads)
