import testtools

from primrosemill.decisions import standings
from primrosemill.fleet import evidence_inbox
from primrosemill.fleet import evidence_outbox
from primrosemill.fleet import members
from primrosemill.fleet import messages
from primrosemill.fleet import wire
from tests.builders import fleet as builders

HOMES = {"reservations": ["vm-2"]}
Reason = evidence_inbox.RejectionReason
LIVE = members.State.LIVE


def healthy(number, score=0.0):
    return builders.instance_evidence(
        number, score=score, state=standings.State.IN_ROTATION
    )


class OutboxTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.outbox = evidence_outbox.Outbox(0.0)

    def put(self, *instances):
        report = builders.report()._replace(instances=instances)
        self.outbox.put(report, 0)

    def take(self, now):
        """Return the instance ids of the report that is sent, if any."""
        batches = self.outbox.take(HOMES, now, int(now * 1_000))
        if not batches:
            return None
        report = batches[0].message.reports[0].report
        return [each.instance_id for each in report.instances]

    def test_an_unchanged_report_is_repeated_at_the_refresh_interval(self):
        self.put()
        self.assertEqual([], self.take(0.0))
        self.assertIsNone(self.take(1.0))
        self.assertEqual([], self.take(evidence_outbox.EMPTY_REFRESH_INTERVAL))
        self.put(builders.instance_evidence(3))
        self.assertEqual(["res-3"], self.take(3.0))
        self.assertIsNone(self.take(3.9))
        self.assertEqual(["res-3"], self.take(4.0))

    def test_a_changed_report_is_sent_with_all_its_instances(self):
        self.put(healthy(1, 2.0))
        self.take(0.0)
        self.put(healthy(1, 2.1), builders.instance_evidence(3))
        self.assertEqual(["res-1", "res-3"], self.take(0.3))
        self.put(healthy(1, 2.2), builders.instance_evidence(3))
        self.assertIsNone(self.take(0.6))
        self.put(healthy(1, 2.2), builders.instance_evidence(3, well=True))
        self.assertEqual(["res-1", "res-3"], self.take(0.6))

    def test_an_instance_that_leaves_the_rotation_is_sent_at_once(self):
        self.put(healthy(4, score=2.0))
        self.assertEqual(["res-4"], self.take(0.0))
        self.put(builders.instance_evidence(4, state=standings.State.AVOIDED))
        self.assertEqual(["res-4"], self.take(0.01))

    def test_a_report_is_sent_when_an_instance_is_found_healthy(self):
        self.put(healthy(4, score=2.0))
        self.take(0.0)
        self.put(healthy(4, score=2.0)._replace(well=True))
        self.assertEqual(["res-4"], self.take(1.0))

    def test_only_a_draining_instance_is_sent_before_the_send_interval(self):
        self.put()
        self.take(0.0)
        self.put(healthy(3, score=2.0))
        self.assertIsNone(self.take(0.1))
        self.put(healthy(3, score=2.0)._replace(draining=True))
        self.assertEqual(["res-3"], self.take(0.1))
        self.assertIsNone(self.take(0.2))

    def test_a_truncated_report_keeps_draining_and_worst_instances(self):
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

    def test_the_byte_rate_and_the_datagram_size_are_bounded(self):
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
        self.assertLess(rate, 1.1 * evidence_outbox.BYTE_RATE)


class InboxTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.inbox = evidence_inbox.Inbox()
        self.sender = builders.entry(1)

    def take(self, now, sent, measured_at=None, **changes):
        sent_at_ms = int(sent * 1_000)
        measured_at = (
            sent_at_ms if measured_at is None else int(measured_at * 1_000)
        )
        report = builders.report()._replace(**changes)
        batch = messages.EvidenceBatch(
            sent_at_ms, (messages.TimedReport(measured_at, report),)
        )
        return self.inbox.take(self.sender, LIVE, 1, batch, now).rejected

    def reports(self, now, state=LIVE):
        return self.inbox.reports("reservations", lambda _: state, now)

    def test_a_report_is_valid_up_to_the_maximum_age(self):
        self.assertEqual((), self.take(50.0, 7.0))
        self.assertEqual([builders.report()], self.reports(52.0))
        self.assertEqual(
            [], self.reports(50.0 + evidence_inbox.MAX_EVIDENCE_AGE)
        )

    def test_evidence_measured_before_a_pause_of_the_peer_is_rejected(self):
        self.take(50.0, 7.0)
        rejected = self.take(80.0, 37.0, measured_at=8.0)
        self.assertEqual((Reason.OLD_EVIDENCE,), rejected)
        self.assertEqual([], self.reports(80.0))

    def test_a_message_delayed_by_the_network_is_rejected(self):
        self.take(50.0, 7.0)
        rejected = self.take(80.0, 9.0)
        self.assertEqual((Reason.OLD_EVIDENCE,), rejected)

    def test_reports_of_a_gone_or_replaced_peer_are_rejected(self):
        batch = messages.EvidenceBatch(0, ())
        gone = self.inbox.take(self.sender, members.State.GONE, 1, batch, 1.0)
        self.assertEqual((Reason.PEER_NOT_LIVE,), gone.rejected)
        other = self.inbox.take(self.sender, LIVE, 2, batch, 1.0)
        self.assertEqual((Reason.OTHER_INCARNATION,), other.rejected)
        self.take(50.0, 7.0)
        self.assertEqual([], self.reports(50.0, members.State.GONE))

    def test_a_report_in_the_name_of_another_vm_is_rejected(self):
        rejected = self.take(50.0, 7.0, vm_id="vm-9")
        self.assertEqual((Reason.WRONG_REPORTER,), rejected)

    def test_forgetting_a_vm_drops_its_reports_and_clock(self):
        self.take(50.0, 7.0)
        self.inbox.forget("vm-1")
        self.assertEqual([], self.reports(50.0))
        self.assertEqual({}, self.inbox._clocks_by_vm)

    def test_an_older_report_does_not_replace_a_newer_one(self):
        self.take(50.0, 7.0)
        newer = builders.report(healthy(0))
        self.take(51.0, 8.0, instances=newer.instances)
        overtaken = self.take(51.1, 8.1, measured_at=7.5)
        self.assertEqual((Reason.OVERTAKEN,), overtaken)
        self.assertEqual([newer], self.reports(52.0))


class ProtocolVersionTest(testtools.TestCase):
    def test_a_batch_of_another_protocol_version_is_refused(self):
        batch = messages.EvidenceBatch(0, ())
        sealed = builders.sealer().seal(batch)
        data = b"\x09" + sealed[1:]
        refusal = builders.opener().open(data).error
        self.assertEqual(wire.RefusalReason.WRONG_PROTOCOL, refusal)
