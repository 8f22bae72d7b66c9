import pathlib

import eliot.testing
import testtools

from primrosemill.telemetry import event_limiter
from primrosemill.telemetry import events
from primrosemill.telemetry import pages

PAGE = pathlib.Path("docs/events.md")


class CatalogueTest(testtools.TestCase):
    def test_page_matches_the_catalogue(self):
        self.assertEqual(pages.events_page(), PAGE.read_text())

    def test_numbers_and_names_are_unique(self):
        numbers = {event.number for event in events.CATALOGUE}
        names = {event.name for event in events.CATALOGUE}
        self.assertEqual(len(events.CATALOGUE), len(numbers))
        self.assertEqual(len(events.CATALOGUE), len(names))

    def test_catalogue_contains_every_event_of_the_module(self):
        defined = {
            value
            for value in vars(events).values()
            if isinstance(value, events.Event)
        }
        self.assertEqual(defined, set(events.CATALOGUE))

    def test_emit_raises_if_fields_differ_from_the_catalogue(self):
        with testtools.ExpectedException(events.WrongFieldsError):
            events.emit(events.VM_STOPPED, vm="vm-0")

    @eliot.testing.capture_logging(None)
    def test_emit_logs_the_number_and_fields(self, logger):
        events.emit(events.VM_STOPPED, vm_id="vm-0")
        self.assertEqual("PM1003", logger.messages[0]["message_type"])
        self.assertEqual("vm-0", logger.messages[0]["vm_id"])


class LimiterTest(testtools.TestCase):
    def test_first_event_is_logged_and_the_next_are_counted(self):
        log_limiter = event_limiter.EventLimiter(10.0)
        self.assertEqual(0, log_limiter.admit("full", 0.0))
        self.assertIsNone(log_limiter.admit("full", 1.0))
        self.assertIsNone(log_limiter.admit("full", 9.9))
        self.assertEqual(2, log_limiter.admit("full", 10.0))
        self.assertEqual(0, log_limiter.admit("full", 20.0))

    def test_keys_are_limited_separately(self):
        log_limiter = event_limiter.EventLimiter(10.0)
        self.assertEqual(0, log_limiter.admit("full", 0.0))
        self.assertEqual(0, log_limiter.admit("deadline", 0.0))
