import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from primrosemill.configuration import assembly
from primrosemill.configuration import files
from primrosemill.configuration import values
from primrosemill.proxy import settings
from tests.builders import configuration as builders
from tests.builders import settings as settings_builders

PIECES = strategies.sampled_from(
    ["[vm]", "[", "]", "=", ":", "\n", "\r", " ", "\t", "#", ";", "id", "\0"]
    + ["%", "[DEFAULT]", "\x1c", "\u2028", "\x85", "fleet = a", "key"]
)
TEXTS = strategies.lists(PIECES | strategies.text(max_size=5)).map("".join)
LEAVES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
)
TREES = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=10,
)
STEADY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


class FuzzTest(testtools.TestCase):
    """Feeds garbage to what reads operators' files: no input may raise."""

    @STEADY
    @hypothesis.given(TEXTS)
    def test_settings(self, text):
        result = settings.parse(text, "vm.ini")
        self.assertTrue(result.is_error())

    @STEADY
    @hypothesis.given(TEXTS)
    def test_settings_with_garbage_behind(self, text):
        result = settings.parse(settings_builders.text() + text, "vm.ini")
        if result.is_ok():
            self.assertEqual("vm-0", result.ok.vm_id)

    @STEADY
    @hypothesis.given(TEXTS, strategies.binary())
    def test_document_files(self, text, tail):
        files.decode(text.encode("utf-8", "surrogatepass") + tail)

    @STEADY
    @hypothesis.given(
        strategies.sampled_from(sorted(values.ServiceValue.__annotations__)),
        TREES,
    )
    def test_services(self, field, tree):
        self.offer_service(builders.service_value() | {field: tree})

    @STEADY
    @hypothesis.given(
        strategies.sampled_from(sorted(values.InstanceValue.__annotations__)),
        TREES,
    )
    def test_instances(self, field, tree):
        instance = builders.instance_value(0, **{field: tree})
        self.offer_service(builders.service_value(1, instances=[instance]))

    @STEADY
    @hypothesis.given(
        strategies.sampled_from(sorted(values.IndexValue.__annotations__)),
        TREES,
    )
    def test_indexes(self, field, tree):
        published = builders.published()
        index = msgspec.json.decode(published[values.INDEX_KEY])
        published[values.INDEX_KEY] = msgspec.json.encode(
            index | {field: tree}
        )
        self.offer(published)

    def offer_service(self, service):
        """Offer any content under the key and digest of a good one."""
        published = builders.published()
        index = msgspec.json.decode(published[values.INDEX_KEY])
        encoded = msgspec.json.encode(service)
        published[values.service_key("reservations", 1)] = encoded
        reference = index["services_by_name"]["reservations"]
        reference["digest"] = values.digest(encoded)
        published[values.INDEX_KEY] = msgspec.json.encode(index)
        self.offer(published)

    def offer(self, published):
        outcome = assembly.assemble(published[values.INDEX_KEY], published)
        if outcome.is_error():
            self.assertNotEqual((), outcome.error)
