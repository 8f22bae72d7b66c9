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

FRAGMENTS = strategies.sampled_from(
    ["[vm]", "[", "]", "=", ":", "\n", "\r", " ", "\t", "#", ";", "id", "\0"]
    + ["%", "[DEFAULT]", "\x1c", "\u2028", "\x85", "fleet = a", "key"]
)
TEXTS = strategies.lists(FRAGMENTS | strategies.text(max_size=5)).map("".join)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
)
JSON_VALUES = strategies.recursive(
    SCALARS,
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), children, max_size=3
        )
    ),
    max_leaves=10,
)
DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


class FuzzTest(testtools.TestCase):
    """Checks that parsers of operators' files raise on no random input."""

    @DETERMINISTIC
    @hypothesis.given(TEXTS)
    def test_random_settings(self, text):
        result = settings.parse(text, "vm.ini")
        self.assertTrue(result.is_error())

    @DETERMINISTIC
    @hypothesis.given(TEXTS)
    def test_valid_settings_followed_by_random_text(self, text):
        result = settings.parse(settings_builders.text() + text, "vm.ini")
        if result.is_ok():
            self.assertEqual("vm-0", result.ok.vm_id)

    @DETERMINISTIC
    @hypothesis.given(TEXTS, strategies.binary())
    def test_random_document_files(self, text, suffix):
        files.decode(text.encode("utf-8", "surrogatepass") + suffix)

    @DETERMINISTIC
    @hypothesis.given(
        strategies.sampled_from(sorted(values.ServiceValue.__annotations__)),
        JSON_VALUES,
    )
    def test_services_with_a_random_field(self, field, value):
        self.assemble_service(builders.service_value() | {field: value})

    @DETERMINISTIC
    @hypothesis.given(
        strategies.sampled_from(sorted(values.InstanceValue.__annotations__)),
        JSON_VALUES,
    )
    def test_instances_with_a_random_field(self, field, value):
        instance = builders.instance_value(0, **{field: value})
        self.assemble_service(builders.service_value(1, instances=[instance]))

    @DETERMINISTIC
    @hypothesis.given(
        strategies.sampled_from(sorted(values.IndexValue.__annotations__)),
        JSON_VALUES,
    )
    def test_indexes_with_a_random_field(self, field, value):
        published = builders.published()
        index = msgspec.json.decode(published[values.INDEX_KEY])
        published[values.INDEX_KEY] = msgspec.json.encode(
            index | {field: value}
        )
        self.assemble(published)

    def assemble_service(self, service):
        """Assemble a service with the key and digest of a valid one."""
        published = builders.published()
        index = msgspec.json.decode(published[values.INDEX_KEY])
        encoded = msgspec.json.encode(service)
        published[values.service_key("reservations", 1)] = encoded
        reference = index["services_by_name"]["reservations"]
        reference["digest"] = values.digest(encoded)
        published[values.INDEX_KEY] = msgspec.json.encode(index)
        self.assemble(published)

    def assemble(self, published):
        outcome = assembly.assemble(published[values.INDEX_KEY], published)
        if outcome.is_error():
            self.assertNotEqual((), outcome.error)
