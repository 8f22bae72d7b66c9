"""What a VM makes of the limits of instances that peers report."""

import random

import testtools
import trio

from primrosemill.decisions import instance_limits
from primrosemill.fleet import messages
from primrosemill.proxy import alarm
from primrosemill.proxy import balancers
from primrosemill.proxy import instance_observations
from primrosemill.proxy import request_policies
from tests.builders import decisions_routing as builders

DOMAIN = "rack-a"
INSTANCE = builders.instance(0, boot=7)
SERVICE = builders.service(instances=(INSTANCE,))


def report(**changes):
    built = messages.InstanceLimit(
        SERVICE.name, INSTANCE.id, INSTANCE.boot, 2_200, 300, 100
    )
    return built._replace(**changes)


class PeerLimitsTest(testtools.TestCase):
    def run_balancers(self, check):
        """Run a check with balancers and the list of their news."""
        news = []

        async def main():
            listeners = instance_observations.Listeners(
                lambda update: None,
                lambda departure: None,
                lambda pause: None,
                news.append,
                None,
            )
            vm_balancers = balancers.Balancers(
                DOMAIN, random.Random(1), listeners
            )
            balancer = vm_balancers.create(SERVICE, alarm.Alarm())
            check(vm_balancers, balancer.selector.limits)

        trio.run(main)
        return news

    def apply(self, *reports):
        """Return the limit afterwards, and the news."""
        rates = []

        def check(vm_balancers, limits):
            for each in reports:
                vm_balancers.limits.apply_reports(messages.Limits((each,)))
            rates.append(limits.rate(INSTANCE))

        news = self.run_balancers(check)
        return rates[0], news

    def test_reported_limit_holds_here(self):
        rate, (news,) = self.apply(report())
        self.assertEqual(2.2, rate)
        self.assertEqual(instance_observations.SOURCE_PEER, news.source)
        self.assertEqual((None, 2.2), news.change)

    def test_repeated_report_is_no_news(self):
        _, news = self.apply(report(), report(), report())
        self.assertEqual(1, len(news))

    def test_report_on_an_unknown_instance_is_ignored(self):
        for changes in (
            {"service": "other"},
            {"instance_id": "i-9"},
            {"boot": 6},
        ):
            rate, news = self.apply(report(**changes))
            self.assertIsNone(rate)
            self.assertEqual([], news)

    def test_older_report_does_not_undo_a_newer_one(self):
        dropped = report(milli_rate=None, sent_age_ms=50, received_age_ms=10)
        rate, _ = self.apply(report(), dropped, report())
        self.assertIsNone(rate)
        late = report(milli_rate=None, sent_age_ms=900, received_age_ms=0)
        rate, _ = self.apply(report(), late)
        self.assertEqual(2.2, rate)

    def test_extreme_values_are_harmless(self):
        for value in (0, 1, messages.MAX_INTEGER):
            rate, _ = self.apply(report(milli_rate=value))
            self.assertEqual(value / 1_000, rate)
        ancient = report(
            sent_age_ms=messages.MAX_INTEGER,
            received_age_ms=messages.MAX_INTEGER,
        )
        self.assertEqual(2.2, self.apply(ancient)[0])

    def test_own_answer_changes_what_a_peer_reported(self):
        def check(vm_balancers, limits):
            vm_balancers.limits.apply_reports(messages.Limits((report(),)))
            start = request_policies.AttemptStart(
                SERVICE.name,
                INSTANCE.id,
                trio.current_time(),
                True,
                INSTANCE.boot,
            )
            vm_balancers.limit_read(request_policies.LimitReading(start, None))
            self.assertIsNone(limits.rate(INSTANCE))

        news = self.run_balancers(check)
        self.assertEqual(
            [(None, 2.2), (2.2, None)], [each.change for each in news]
        )

    def test_changes_of_the_own_share_are_told_once(self):
        def check(vm_balancers, limits):
            now = trio.current_time()
            self.assertEqual([], vm_balancers.limits.take_share_changes(now))
            vm_balancers.limits.apply_reports(messages.Limits((report(),)))
            (change,) = vm_balancers.limits.take_share_changes(now)
            self.assertEqual((2.2, 2.2), change[2:])
            self.assertEqual([], vm_balancers.limits.take_share_changes(now))
            limits.record(
                INSTANCE, instance_limits.Statement(None, now, now + 1.0)
            )
            (change,) = vm_balancers.limits.take_share_changes(now)
            self.assertEqual((None, None), change[2:])

        self.run_balancers(check)
