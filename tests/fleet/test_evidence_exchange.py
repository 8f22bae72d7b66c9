import testtools

from primrosemill.decisions import standings
from primrosemill.fleet import evidence_exchange as exchanges
from primrosemill.fleet import members
from primrosemill.fleet import messages
from primrosemill.fleet import wire
from tests.builders import fleet as builders

HOMES = {"reservations": ["vm-2"]}
Reason = exchanges.RejectionReason
LIVE = members.State.LIVE


def healthy(number, score=0.0):
    return builders.instance_evidence(
        number, score=score, state=standings.State.IN_ROTATION
    )


class OutboxTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.outbox = exchanges.Outbox(0.0)

    def put(self, *instances):
        report = builders.report()._replace(instances=instances)
        self.outbox.put(report, 0)

    def take(self, now):
        """Return the instances of the report that was sent, if one was."""
        batches = self.outbox.take(HOMES, now, int(now * 1_000))
        if not batches:
            return None
        report = batches[0].message.reports[0].report
        return [each.instance_id for each in report.instances]

    def test_an_unchanged_report_is_repeated_now_and_then_only(self):
        self.put()
        self.assertEqual([], self.take(0.0))
        self.assertIsNone(self.take(1.0))
        self.assertEqual([], self.take(exchanges.QUIET_INTERVAL))
        self.put(builders.instance_evidence(3))
        self.assertEqual(["res-3"], self.take(3.0))
        self.assertIsNone(self.take(3.9))
        self.assertEqual(["res-3"], self.take(4.0))

    def test_a_change_is_sent_whole(self):
        self.put(healthy(1, 2.0))
        self.take(0.0)
        self.put(healthy(1, 2.1), builders.instance_evidence(3))
        self.assertEqual(["res-1", "res-3"], self.take(0.3))
        self.put(healthy(1, 2.2), builders.instance_evidence(3))
        self.assertIsNone(self.take(0.6))
        self.put(healthy(1, 2.2), builders.instance_evidence(3, well=True))
        self.assertEqual(["res-1", "res-3"], self.take(0.6))

    def test_what_goes_out_of_rotation_does_not_wait(self):
        self.put(healthy(4, score=2.0))
        self.assertEqual(["res-4"], self.take(0.0))
        self.put(builders.instance_evidence(4, state=standings.State.AVOIDED))
        self.assertEqual(["res-4"], self.take(0.01))

    def test_that_an_instance_is_found_well_is_told(self):
        self.put(healthy(4, score=2.0))
        self.take(0.0)
        self.put(healthy(4, score=2.0)._replace(well=True))
        self.assertEqual(["res-4"], self.take(1.0))

    def test_changes_are_batched_but_for_a_drain_sign(self):
        self.put()
        self.take(0.0)
        self.put(healthy(3, score=2.0))
        self.assertIsNone(self.take(0.1))
        self.put(healthy(3, score=2.0)._replace(draining=True))
        self.assertEqual(["res-3"], self.take(0.1))
        self.assertIsNone(self.take(0.2))

    def test_a_report_keeps_drain_signs_and_the_worst(self):
        self.put(
            builders.instance_evidence(0, score=0.0, draining=True),
            *(
                builders.instance_evidence(number, score=float(number))
                for number in range(1, 400)
            ),
        )
        sent = self.take(0.0)
        self.assertLess(len(sent), 60)
        self.assertIn("res-0", sent)
        self.assertIn("res-399", sent)
        self.assertNotIn("res-1", sent)

    def test_the_bytes_sent_are_bounded(self):
        homes = {f"s-{each}": ["vm-2", "vm-3"] for each in range(20)}
        sealer = builders.sealer()
        total = 0
        for step in range(1, 600):
            for service in homes:
                instances = [
                    builders.instance_evidence(number, score=float(step))
                    for number in range(50)
                ]
                report = builders.report(*instances)
                self.outbox.put(report._replace(service=service), step)
            for batch in self.outbox.take(homes, step * 0.1, step * 100):
                sealed = sealer.seal(batch.message)
                self.assertLess(len(sealed), wire.DATAGRAM_SIZE_LIMIT)
                total += len(sealed)
        rate = total / 60.0
        self.assertLess(rate, 1.1 * exchanges.BYTE_RATE)


class InboxTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.inbox = exchanges.Inbox()
        self.sender = builders.entry(1)

    def take(self, now, sent, measured=None, **changes):
        stamp = int(sent * 1_000)
        measured = stamp if measured is None else int(measured * 1_000)
        report = builders.report()._replace(**changes)
        batch = messages.EvidenceBatch(
            stamp, (messages.StampedReport(measured, report),)
        )
        return self.inbox.take(self.sender, LIVE, 1, batch, now).rejected

    def reports(self, now, state=LIVE):
        return self.inbox.reports("reservations", lambda _: state, now)

    def test_a_report_has_weight_for_a_while(self):
        self.assertEqual((), self.take(50.0, 7.0))
        self.assertEqual([builders.report()], self.reports(52.0))
        self.assertEqual([], self.reports(50.0 + exchanges.EVIDENCE_AGE))

    def test_what_a_paused_peer_measured_before_has_no_weight(self):
        self.take(50.0, 7.0)
        found = self.take(80.0, 37.0, measured=8.0)
        self.assertEqual((Reason.OLD_EVIDENCE,), found)
        self.assertEqual([], self.reports(80.0))

    def test_a_message_that_the_network_held_back_has_no_weight(self):
        self.take(50.0, 7.0)
        found = self.take(80.0, 9.0)
        self.assertEqual((Reason.OLD_EVIDENCE,), found)

    def test_a_peer_that_is_gone_or_replaced_has_no_weight(self):
        batch = messages.EvidenceBatch(0, ())
        gone = self.inbox.take(self.sender, members.State.GONE, 1, batch, 1.0)
        self.assertEqual((Reason.PEER_NOT_LIVE,), gone.rejected)
        other = self.inbox.take(self.sender, LIVE, 2, batch, 1.0)
        self.assertEqual((Reason.OTHER_INCARNATION,), other.rejected)
        self.take(50.0, 7.0)
        self.assertEqual([], self.reports(50.0, members.State.GONE))

    def test_a_peer_reports_in_its_own_name_only(self):
        found = self.take(50.0, 7.0, vm_id="vm-9")
        self.assertEqual((Reason.WRONG_REPORTER,), found)

    def test_an_overtaken_report_does_not_replace_a_newer_one(self):
        self.take(50.0, 7.0)
        newer = builders.report(healthy(0))
        self.take(51.0, 8.0, instances=newer.instances)
        overtaken = self.take(51.1, 8.1, measured=7.5)
        self.assertEqual((Reason.OVERTAKEN,), overtaken)
        self.assertEqual([newer], self.reports(52.0))


class WrongVersionTest(testtools.TestCase):
    def test_a_batch_of_another_protocol_version_is_refused(self):
        batch = messages.EvidenceBatch(0, ())
        sealed = builders.sealer().seal(batch)
        data = b"\x09" + sealed[1:]
        refusal = builders.opener().open(data).error
        self.assertEqual(wire.RefusalReason.WRONG_PROTOCOL, refusal)
