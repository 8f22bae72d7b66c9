import random

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from primrosemill.fleet import messages
from primrosemill.fleet import replay_filter as replay_filters
from primrosemill.fleet import wire
from tests.builders import fleet as builders

Reason = wire.RefusalReason


class WireTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.opener = builders.opener()

    def refusal(self, data, **options):
        return self.opener.open(data, **options).error

    def test_an_opened_message_equals_the_sealed_one(self):
        message = builders.ping(entries=(builders.entry(2),))
        received = self.opener.open(builders.sealer().seal(message)).ok
        self.assertEqual(message, received.message)
        self.assertEqual("vm-1", received.sender_id)

    def test_a_repeated_message_is_refused(self):
        data = builders.sealer().seal(builders.ping())
        self.assertTrue(self.opener.open(data).is_ok())
        self.assertEqual(Reason.REPLAYED, self.refusal(data))

    def test_messages_that_arrive_out_of_order_are_accepted(self):
        sealer = builders.sealer()
        sealed = [sealer.seal(builders.ping()) for _ in range(100)]
        random.Random(1).shuffle(sealed)
        results = [self.opener.open(data) for data in sealed]
        self.assertTrue(all(result.is_ok() for result in results))

    def test_every_number_within_the_window_is_remembered(self):
        replay_filter = replay_filters.ReplayFilter()
        for number in (1, 5, 3, 2_000):
            replay_filter.admit("vm-1", 1, number)
        for number in (1, 3, 5, 2_000):
            verdict = replay_filter.admit("vm-1", 1, number)
            self.assertIs(replay_filters.Verdict.REPEATED, verdict)

    def test_a_message_of_an_earlier_incarnation_is_refused(self):
        later = builders.sealer(incarnation=2)
        message = builders.ping(sender=builders.entry(incarnation=2))
        self.opener.open(later.seal(message))
        data = builders.sealer(incarnation=1).seal(builders.ping())
        self.assertEqual(Reason.OLD_INCARNATION, self.refusal(data))

    def test_a_message_with_another_fleet_key_or_protocol_is_refused(self):
        message = builders.ping()
        foreign = builders.sealer(fleet="guild").seal(message)
        self.assertEqual(Reason.FOREIGN_FLEET, self.refusal(foreign))
        wrong_key = builders.sealer(secret=b"other").seal(message)
        self.assertEqual(Reason.WRONG_TAG, self.refusal(wrong_key))
        data = builders.sealer().seal(message)
        other_protocol = b"\x02" + data[1:]
        self.assertEqual(Reason.WRONG_PROTOCOL, self.refusal(other_protocol))

    def test_a_message_in_the_name_of_another_vm_is_refused(self):
        data = builders.sealer(2).seal(builders.ping(1))
        self.assertEqual(Reason.WRONG_SENDER, self.refusal(data))
        own = builders.sealer(0).seal(builders.ping(0))
        self.assertEqual(Reason.OWN_MESSAGE, self.refusal(own))

    def test_oversized_messages_and_fields_are_refused(self):
        data = builders.sealer().seal(builders.ping())
        self.assertEqual(
            Reason.TOO_LARGE, self.refusal(data, size_limit=len(data) - 1)
        )
        self.assertEqual(Reason.TOO_SHORT, self.refusal(b"\x01"))
        entries = (builders.entry(),) * 25
        many = builders.sealer().seal(builders.ping(entries=entries))
        self.assertEqual(Reason.MALFORMED, self.refusal(many))
        long_name = builders.entry(2, vm_id="v" * 65)
        named = builders.sealer().seal(builders.ping(entries=(long_name,)))
        self.assertEqual(Reason.MALFORMED, self.refusal(named))

    def test_fields_of_a_wrong_type_or_range_are_refused(self):
        for bad in (-1, "1", 2**64 - 1, None, 1.5):
            message = builders.ping(nonce=bad)
            data = builders.sealer().seal(message)
            self.assertEqual(Reason.MALFORMED, self.refusal(data))

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.binary(max_size=2_000))
    def test_arbitrary_bytes_are_refused(self, data):
        self.assertTrue(builders.opener().open(data).is_error())

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.binary(max_size=1_000))
    def test_arbitrary_bytes_with_a_valid_tag_are_refused(self, body):
        key = wire.derive_key(builders.SECRET)
        tag = wire._tag(key, b"\x01" + body)
        result = builders.opener().open(b"\x01" + tag + body)
        self.assertTrue(result.is_error())

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.data())
    def test_a_message_with_a_changed_byte_is_refused(self, data):
        sealed = bytearray(builders.sealer().seal(builders.ping()))
        place = data.draw(strategies.integers(0, len(sealed) - 1))
        sealed[place] ^= data.draw(strategies.integers(1, 255))
        self.assertTrue(builders.opener().open(bytes(sealed)).is_error())

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.sampled_from(messages.Kind),
        strategies.recursive(
            strategies.none()
            | strategies.integers(-(2**63), 2**64 - 1)
            | strategies.text(max_size=8)
            | strategies.binary(max_size=8),
            lambda inner: strategies.lists(inner, max_size=7),
            max_leaves=20,
        ),
    )
    def test_an_authentic_message_of_any_payload_is_decoded_or_refused(
        self, kind, payload
    ):
        envelope = [builders.FLEET, "vm-1", 1, 1, kind, payload]
        body = msgspec.msgpack.encode(envelope)
        key = wire.derive_key(builders.SECRET)
        data = b"\x01" + wire._tag(key, b"\x01" + body) + body
        result = builders.opener().open(data)
        if result.is_ok():
            message_type = type(result.ok.message)
            self.assertEqual(kind, messages.KINDS_BY_TYPE[message_type])
        else:
            self.assertIn(
                result.error, (Reason.MALFORMED, Reason.WRONG_SENDER)
            )

    def test_every_message_type_has_a_kind(self):
        kinds = set(messages.KINDS_BY_TYPE.values())
        self.assertEqual(set(messages.Kind), kinds)
