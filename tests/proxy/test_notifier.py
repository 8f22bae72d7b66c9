import testtools
import trio
import trio.testing

from primrosemill.configuration import document as documents
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import instance_limits
from primrosemill.fleet import messages
from primrosemill.fleet import wire
from primrosemill.proxy import instance_observations
from primrosemill.proxy import notifier as notifiers
from tests.builders import fleet

OWN_DOMAIN = ("vm-1", "vm-2")
ALL_DOMAINS = ("vm-8", "vm-9", *OWN_DOMAIN)


class Recipients:
    def recipients_for(self, domain):
        return ALL_DOMAINS

    def own_domain_recipients(self):
        return OWN_DOMAIN


def update(
    failed=True, shareable=True, before=0.9, after=0.2, domain="a", number=0
):
    instance = documents.Instance(
        f"i-{number}", "10.0.0.1", 80, domain, boot=7
    )
    return instance_observations.BeliefUpdate(
        "reservations",
        instance,
        beliefs.Change(instance.id, before, after),
        "status_500",
        failed,
        shareable,
        0.0,
    )


class NewsTest(testtools.TestCase):
    def send_after(self, *steps, successes=False):
        """Return the (message, recipients) sent after (time, update) steps."""
        sent = []

        async def send_message(message, vm_ids):
            sent.append((message, tuple(vm_ids)))

        async def main():
            notifier = notifiers.Notifier("a", Recipients())
            for at, belief_update in steps:
                notifier.add_update(belief_update, at)
            send = (
                notifier.send_success_batches
                if successes
                else notifier.send_queued
            )
            with trio.move_on_after(0.3 if successes else 0.05):
                await send(send_message)

        trio.run(main)
        return sent

    def test_failure_that_lowers_trust_is_sent_to_all_domains(self):
        ((message, recipient_ids),) = self.send_after((1.0, update()))
        self.assertEqual(ALL_DOMAINS, recipient_ids)
        (sighting,) = message.sightings
        self.assertIs(messages.SightingOutcome.FAILED, sighting.outcome)
        self.assertEqual(
            ("reservations", "i-0", 7, 1_000), sighting[:3] + sighting[4:]
        )

    def test_failure_that_keeps_trust_is_sent_within_the_own_domain(self):
        ((_, recipient_ids),) = self.send_after((1.0, update(after=0.85)))
        self.assertEqual(OWN_DOMAIN, recipient_ids)

    def test_report_from_a_peer_is_not_forwarded(self):
        self.assertEqual([], self.send_after((1.0, update(shareable=False))))

    def test_failures_of_an_avoided_instance_are_rate_limited(self):
        again = update(before=0.2, after=0.1)
        steps = [(1.0, update()), (1.1, again), (1.2, again), (1.4, again)]
        self.assertEqual(2, len(self.send_after(*steps)))

    def test_rate_of_failures_sent_to_other_domains_is_limited(self):
        """A quarter of a service fails at once, observed by one VM."""
        steps = [(1.0 + n / 50, update(number=n)) for n in range(50)]
        sent = self.send_after(*steps)
        self.assertEqual(50, len(sent))
        sent_to_all = [
            recipient_ids
            for _, recipient_ids in sent
            if recipient_ids == ALL_DOMAINS
        ]
        self.assertLess(len(sent_to_all), 5)

    def test_successes_in_the_own_domain_are_sent_in_one_message(self):
        steps = [(1.0, update(failed=False, number=n)) for n in range(3)]
        steps += [(1.0, update(failed=False, domain="b", number=9))]
        ((message, recipient_ids),) = self.send_after(*steps, successes=True)
        self.assertEqual(OWN_DOMAIN, recipient_ids)
        ids = [each.instance_id for each in message.sightings]
        self.assertEqual(["i-0", "i-1", "i-2"], ids)

    def test_success_is_not_sent_right_after_the_report_of_a_peer(self):
        success = update(failed=False)
        steps = [(1.0, success._replace(shareable=False)), (1.1, success)]
        self.assertEqual([], self.send_after(*steps, successes=True))

    def test_message_with_long_names_fits_into_a_datagram(self):
        steps = []
        for number in range(40):
            each = update(failed=False, number=number)
            instance = each.instance._replace(id=f"{number:064d}")
            steps.append(
                (1.0, each._replace(service="s" * 64, instance=instance))
            )
        sealer = fleet.sealer(0)
        sent = self.send_after(*steps, successes=True)
        for message, _ in sent:
            size = len(sealer.seal(message))
            self.assertLess(size, wire.DATAGRAM_SIZE_LIMIT)
        self.assertTrue(sent)


class LimitsTest(testtools.TestCase):
    def news(self, number=0, rate=2.5, received_at=9.0):
        return instance_observations.LimitUpdate(
            "reservations",
            update(number=number).instance,
            instance_observations.SOURCE_ANSWER,
            instance_limits.Change(None, rate),
            instance_limits.Statement(rate, received_at - 0.5, received_at),
        )

    def run_notifier(self, added=(), repeated=()):
        """Return what is sent: news added at a time, and what is repeated."""
        sent = []

        async def send_message(message, vm_ids):
            self.assertEqual(ALL_DOMAINS, tuple(vm_ids))
            sent.append(message)

        async def main():
            notifier = notifiers.Notifier("a", Recipients())
            for at, news in added:
                notifier.add_limit(news, at)
            with trio.move_on_after(
                1.5 * instance_limits.REPEAT_INTERVAL if repeated else 0.05
            ):
                if repeated:
                    await notifier.repeat_limits(
                        lambda now: list(repeated), send_message
                    )
                await notifier.send_queued(send_message)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return sent

    def test_limit_is_sent_to_all_domains_with_its_ages(self):
        (message,) = self.run_notifier([(10.0, self.news())])
        self.assertEqual(
            (("reservations", "i-0", 7, 2_500, 1_500, 1_000),), message.limits
        )

    def test_dropped_limit_is_sent(self):
        (message,) = self.run_notifier([(10.0, self.news(rate=None))])
        self.assertIsNone(message.limits[0].milli_rate)

    def test_limit_that_changes_with_each_answer_is_sent_at_intervals(self):
        added = [
            (10.0 + number / 10, self.news(rate=float(number)))
            for number in range(10)
        ]
        self.assertEqual(2, len(self.run_notifier(added)))

    def test_limits_are_repeated_in_messages_that_fit_a_datagram(self):
        news = [self.news(number) for number in range(100)]
        sent = self.run_notifier(repeated=news)
        self.assertEqual(100, sum(len(each.limits) for each in sent))
        for message in sent:
            self.assertLessEqual(len(message.limits), 16)
            sealed = fleet.sealer().seal(message)
            self.assertLess(len(sealed), wire.DATAGRAM_SIZE_LIMIT)
