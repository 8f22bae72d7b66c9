import testtools

from primrosemill.configuration import assembly
from primrosemill.configuration import faults
from primrosemill.configuration import values
from tests.builders import configuration as builders


def assemble(values_by_key, previous=None):
    index_value = values_by_key[values.INDEX_KEY]
    return assembly.assemble(index_value, values_by_key, previous)


class AssemblyTest(testtools.TestCase):
    def fault_types(self, *services, **changes):
        result = assemble(builders.published(*services, **changes))
        self.assertTrue(result.is_error())
        return {type(fault) for fault in result.error}

    def test_document_is_built_from_its_parts(self):
        document = builders.assembled().document
        service = document.services_by_name["reservations"]
        self.assertEqual(1, document.version)
        self.assertEqual(20, len(service.instances))
        self.assertEqual(9000, service.instances[0].port)

    def test_unchanged_service_is_reused(self):
        first = builders.assembled()
        second = assemble(builders.published(version=2), first).ok
        name = "reservations"
        self.assertIs(
            first.document.services_by_name[name],
            second.document.services_by_name[name],
        )

    def test_invalid_service_is_a_fault(self):
        instance = builders.instance_value(0)
        cases = [
            (faults.FloorOverInstances, {"floor": 21}),
            (faults.OutOfRange, {"slots": 0}),
            (faults.Duplicate, {"instances": [instance] * 20}),
            (faults.BadName, {"name": "a/b"}),
            (faults.Malformed, {"slots": "three"}),
        ]
        for fault_type, changes in cases:
            service = builders.service_value() | changes
            self.assertIn(fault_type, self.fault_types(service))

    def test_invalid_instance_is_a_fault(self):
        cases = [
            (faults.UnknownDomain, {"domain": "elsewhere"}),
            (faults.BadAddress, {"address": "localhost:80"}),
            (faults.BadAddress, {"address": "127.0.0.1:0"}),
            (faults.BadAddress, {"address": f"127.0.0.1:{'9' * 5_000}"}),
            (faults.BadAddress, {"address": "0.0.0.0:80"}),
            (faults.BadAddress, {"address": "224.0.0.1:80"}),
            (faults.BadAddress, {"address": "[::]:80"}),
            (faults.UnknownState, {"state": "asleep"}),
        ]
        for fault_type, changes in cases:
            instance = builders.instance_value(0, **changes)
            service = builders.service_value(1, floor=0)
            service["instances"] = [instance]
            self.assertIn(fault_type, self.fault_types(service))

    def test_address_shared_by_two_services_is_a_fault(self):
        other = builders.service_value(name="compliance", routes=[])
        fault_types = self.fault_types(builders.service_value(), other)
        self.assertEqual({faults.Duplicate}, fault_types)

    def test_missing_or_altered_part_is_a_fault(self):
        values_by_key = builders.published()
        key = values.service_key("reservations", 1)
        altered = values_by_key | {key: values_by_key[key] + b" "}
        self.assertIsInstance(assemble(altered).error[0], faults.WrongDigest)
        del values_by_key[key]
        self.assertIsInstance(
            assemble(values_by_key).error[0], faults.MissingPart
        )

    def test_value_over_the_size_limit_is_a_fault(self):
        result = assembly.decode_index(b" " * (values.VALUE_SIZE_LIMIT + 1))
        self.assertIsInstance(result.error, faults.ValueTooLarge)

    def test_invalid_json_is_a_fault(self):
        cases = [
            b"",
            b"\xff\xfe",
            b"null",
            b'{"x":"\xff"}',
            b'{"fleet":"\\ud800"}',
            b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ]
        for value in cases:
            result = assembly.decode_index(value)
            self.assertIsInstance(result.error, faults.Malformed)
