import testtools

from primrosemill.configuration import document
from primrosemill.configuration import faults
from primrosemill.configuration import versions
from tests.builders import configuration as builders


class VersionsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.in_force = builders.assembled(version=2).document

    def offer(self, **changes):
        offered = builders.assembled(**changes).document
        return versions.accept(self.in_force, offered)

    def test_higher_version_is_accepted(self):
        self.assertEqual(3, self.offer(version=3).ok.version)

    def test_older_version_is_a_fault(self):
        fault = self.offer(version=1).error
        self.assertEqual(faults.OlderVersion(2, 1), fault)

    def test_same_version_with_same_content_is_accepted(self):
        self.assertEqual(self.in_force, self.offer(version=2).ok)

    def test_same_version_with_other_content_is_a_fault(self):
        fault = self.offer(version=2, domains=["x"] + builders.DOMAINS).error
        self.assertIsInstance(fault, faults.ConflictingVersion)

    def test_version_of_another_fleet_is_a_fault(self):
        fault = self.offer(version=9, fleet="guild").error
        self.assertEqual(faults.WrongFleet("atlas", "guild"), fault)

    def test_any_version_replaces_the_empty_document(self):
        empty = document.empty_document("atlas")
        accepted = versions.accept(empty, self.in_force).ok
        self.assertEqual(2, accepted.version)
