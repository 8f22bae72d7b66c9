import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import caller_limits
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
LIMIT = documents.Limit(10.0, 5)


def admit(limiter, requests, now=0.0, caller="a", limit=LIMIT, share=1.0):
    admitted = 0
    for _ in range(requests):
        admitted += limiter.take("s", caller, limit, share, now) is None
    return admitted


class LimitsTest(testtools.TestCase):
    def test_a_burst_is_admitted_and_then_the_rate(self):
        limiter = caller_limits.CallerLimits()
        self.assertEqual(5, admit(limiter, 20))
        self.assertEqual(2, admit(limiter, 20, now=0.2))
        self.assertEqual(5, admit(limiter, 20, now=60.0))

    def test_retry_after_is_when_the_next_request_is_admitted(self):
        limiter = caller_limits.CallerLimits()
        admit(limiter, 5)
        refusal = limiter.take("s", "a", LIMIT, 1.0, 0.0)
        self.assertAlmostEqual(0.1, refusal.retry_after)
        self.assertEqual(1, admit(limiter, 1, now=refusal.retry_after))

    def test_callers_and_services_have_separate_buckets(self):
        limiter = caller_limits.CallerLimits()
        admit(limiter, 100)
        self.assertEqual(5, admit(limiter, 5, caller="b"))
        self.assertIsNone(limiter.take("other", "a", LIMIT, 1.0, 0.0))

    def test_a_zero_limit_has_an_infinite_retry_after(self):
        nothing = documents.Limit(0.0, 0)
        refusal = caller_limits.CallerLimits().take(
            "s", "a", nothing, 1.0, 0.0
        )
        self.assertEqual(float("inf"), refusal.retry_after)

    def test_a_share_scales_rate_and_burst(self):
        limiter = caller_limits.CallerLimits()
        self.assertEqual(2, admit(limiter, 9, share=0.4))
        self.assertEqual(4, admit(limiter, 9, now=1.0, share=0.4) * 2)

    def test_callers_beyond_the_capacity_share_buckets(self):
        limiter = caller_limits.CallerLimits(capacity=100, shared_buckets=4)
        admitted = 0
        for number in range(1000):
            admitted += admit(limiter, 1, caller=f"caller-{number}")
        self.assertLessEqual(len(limiter), 104)
        self.assertEqual(100 + 4 * LIMIT.burst, admitted)

    def test_entries_of_full_buckets_are_dropped(self):
        limiter = caller_limits.CallerLimits()
        for number in range(100):
            admit(limiter, 1, caller=f"caller-{number}")
        admit(limiter, 200, now=60.0)
        self.assertEqual(1, len(limiter))

    def test_callers_without_an_entry_get_the_default(self):
        document = documents.empty_document("atlas")._replace(
            default_limit=LIMIT, limits_by_caller={"a": documents.Limit(1, 1)}
        )
        self.assertEqual(1, caller_limits.limit_of(document, "a").burst)
        self.assertEqual(LIMIT, caller_limits.limit_of(document, "b"))

    @SETTINGS
    @hypothesis.given(strategies.text(max_size=9), strategies.integers(1, 12))
    def test_shares_over_the_fleet_are_bounded(self, caller, home_count):
        vms = builders.vms(36)
        homes = vms[:home_count]
        shares = [caller_limits.vm_share(vm, caller, homes, 36) for vm in vms]
        domains = len({vm.domain for vm in homes})
        self.assertEqual(domains, shares.count(1.0))
        self.assertLessEqual(sum(shares), domains + 2)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 2.0), max_size=80)
    )
    def test_admitted_requests_never_exceed_burst_and_rate(self, gaps):
        limiter = caller_limits.CallerLimits()
        now, admitted = 0.0, 0
        for gap in gaps:
            now += gap
            admitted += admit(limiter, 3, now=now)
            self.assertLessEqual(
                admitted, LIMIT.burst + LIMIT.rate * now + 1e-6
            )
