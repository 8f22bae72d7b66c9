import pathlib

import testtools

from primrosemill.proxy import settings
from primrosemill.proxy import settings_faults as faults
from primrosemill.proxy import settings_schema as schema
from tests.builders import settings as builders

SETTINGS_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "settings.md"


def find_faults(text):
    result = settings.parse(text, "vm.ini")
    return result.error if result.is_error() else ()


class SettingsTest(testtools.TestCase):
    def test_complete_file_has_no_fault(self):
        result = settings.parse(builders.text(), "vm.ini")
        self.assertTrue(result.is_ok(), result)
        self.assertEqual("vm-0", result.ok.vm_id)
        self.assertEqual("127.0.0.1:8500", result.ok.platform_address)
        self.assertEqual((), result.ok.first_peers)

    def test_defaults_of_class_and_schema_are_equal(self):
        parsed = settings.parse(builders.text(), "vm.ini").ok
        built = settings.Settings(*parsed[:8])
        self.assertEqual(built, parsed)

    def test_list_of_peers_may_span_several_lines(self):
        peers = {"first": "127.0.0.2:1,\n  127.0.0.3:2", "key": "ab" * 16}
        result = settings.parse(builders.text(peers=peers), "vm.ini").ok
        self.assertEqual(("127.0.0.2:1", "127.0.0.3:2"), result.first_peers)
        self.assertEqual(b"\xab" * 16, result.peer_key)

    def test_each_fault_gives_its_place_and_value(self):
        cases = [
            ("vm", "id", "entry 1", faults.WrongType),
            ("vm", "ip", "localhost", faults.WrongType),
            ("vm", "ip", "0.0.0.0", faults.WrongType),
            ("platform", "address", "127.0.0.1", faults.WrongType),
            ("platform", "address", "127.0.0.1:70000", faults.WrongType),
            ("ports", "caller", "80a", faults.WrongType),
            ("ports", "caller", "65536", faults.OutOfRange),
            ("ports", "caller", "9" * 5_000, faults.OutOfRange),
            ("ports", "caller", "-1", faults.OutOfRange),
            ("peers", "first", "127.0.0.1:1,,", faults.WrongType),
            ("limits", "waiting_requests", "0", faults.OutOfRange),
            ("limits", "waiting_requests", "1.5", faults.WrongType),
            ("limits", "stop_seconds", "nan", faults.WrongType),
            ("limits", "stop_seconds", "-0.1", faults.OutOfRange),
        ]
        for section, key, value, fault_type in cases:
            text = builders.text(**{section: {key: value}})
            line = 1 + text.splitlines().index(f"{key} = {value}")
            self.assertEqual([fault_type], list(map(type, find_faults(text))))
            fault = find_faults(text)[0]
            self.assertEqual(("vm.ini", line, section, key, value), fault[:5])
            self.assertNotEqual("", fault.allowed)

    def test_missing_unknown_and_conflicting_entries(self):
        cases = [
            (faults.MissingSection, {"platform": None}),
            (faults.UnknownSection, {"zoo": {"a": "1"}}),
            (faults.UnknownSection, {"DEFAULT": {"a": "1"}}),
            (faults.UnknownKey, {"vm": {"colour": "red"}}),
            (faults.SharedPort, {"ports": {"caller": "1", "peer": "1"}}),
        ]
        for fault_type, changes in cases:
            text = builders.text(**changes)
            self.assertEqual([fault_type], list(map(type, find_faults(text))))

    def test_missing_key_gives_the_line_of_its_section(self):
        text = builders.text().replace("id = vm-0\n", "")
        self.assertEqual(1, find_faults(text)[0].line)
        self.assertEqual("id", find_faults(text)[0].key)

    def test_all_faults_are_reported_at_once(self):
        text = "stray\n[vm]\nid = a\nid = b\nnonsense\n[zoo]\n"
        types = [type(fault) for fault in find_faults(text)]
        self.assertEqual(2, types.count(faults.MalformedLine))
        self.assertEqual(1, types.count(faults.DuplicateKey))
        self.assertEqual(1, types.count(faults.UnknownSection))
        self.assertEqual(2, types.count(faults.MissingSection))
        self.assertEqual(3, types.count(faults.MissingKey))

    def test_secret_is_not_shown_in_a_fault(self):
        fault = find_faults(builders.text(peers={"key": "ab" * 15}))[0]
        self.assertIsInstance(fault, faults.OutOfRange)
        self.assertNotIn("abab", faults.describe(fault))

    def test_unreadable_file_is_a_fault(self):
        result = settings.read(pathlib.Path("/no/such/file"))
        self.assertIsInstance(result.error[0], faults.UnreadableFile)


class PageTest(testtools.TestCase):
    def test_page_lists_the_keys_of_the_schema(self):
        self.assertEqual(
            builders.key_rows(schema.KEYS),
            builders.page_rows(SETTINGS_PAGE.read_text()),
        )
