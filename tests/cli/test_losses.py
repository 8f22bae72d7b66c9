import json
import pathlib
import tempfile

from click import testing
import testtools

from primrosemill.cli import main

SERVICE = "reservations"


def line(event, request_id, time, **fields):
    return json.dumps(
        {"event": event, "request_id": request_id, "timestamp": time} | fields
    )


def sent(request_id, time, instance_id, chance=0.95):
    return line(
        "request_sent",
        request_id,
        time,
        service=SERVICE,
        instance_id=instance_id,
        chance=chance,
    )


def attempt(request_id, time, instance_id, outcome):
    return line(
        "attempt_ended",
        request_id,
        time,
        instance_id=instance_id,
        outcome=outcome,
    )


def ended(request_id, time, ending, detail):
    return line(
        "request_ended", request_id, time, ending=ending, detail=detail
    )


def whole(request_id, time, instance_id, status):
    return [
        sent(request_id, time, instance_id),
        attempt(request_id, time + 0.1, instance_id, f"status_{status}"),
        ended(request_id, time + 0.1, "relayed", status),
    ]


class LossesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_command(self, *arguments, **lines_by_vm):
        paths = []
        for name, lines in lines_by_vm.items():
            path = self.folder / f"{name}.log"
            path.write_text("\n".join(lines))
            paths.append(str(path))
        result = testing.CliRunner().invoke(
            main.main, ["losses", *arguments, *paths]
        )
        self.assertEqual(0, result.exit_code, result.output)
        return result

    def losses(self, **lines_by_vm):
        result = self.run_command("--json", **lines_by_vm)
        keys = ("cause", "before", "better")
        names = ("time", "id", "service", "cause", "vm", "instance")
        names += ("chance", "before", "better")
        found = {}
        for row in json.loads(result.output):
            named = dict(zip(names, row, strict=True))
            found[named["id"]] = tuple(named[key] for key in keys)
        return found

    def test_served_requests_are_not_lost(self):
        self.assertEqual({}, self.losses(a=whole("r1", 1.0, "i-1", 200)))

    def test_the_first_failure_of_a_well_instance(self):
        lines = whole("r1", 1.0, "i-1", 200) + whole("r2", 2.0, "i-1", 500)
        found = self.losses(a=lines)
        self.assertEqual({"r2": ("own_error_500", "well", False)}, found)

    def test_a_spell_that_another_vm_had_met(self):
        found = self.losses(
            a=whole("r1", 1.0, "i-1", 500) + whole("r2", 1.0, "i-2", 200),
            b=whole("r3", 1.5, "i-1", 500),
        )
        self.assertEqual(
            ("own_error_500", "failed_elsewhere", True), found["r3"]
        )
        self.assertEqual(("own_error_500", "nothing_seen", False), found["r1"])

    def test_a_spell_that_the_vm_had_met_itself(self):
        lines = whole("r1", 1.0, "i-1", 500) + whole("r2", 1.5, "i-1", 503)
        self.assertEqual(
            ("own_error_503", "failed_here", False),
            self.losses(a=lines)["r2"],
        )

    def test_what_was_seen_long_ago_does_not_count(self):
        lines = whole("r1", 1.0, "i-1", 500) + whole("r2", 9.0, "i-1", 500)
        self.assertEqual("nothing_seen", self.losses(a=lines)["r2"][1])

    def test_refusals_and_unknown_outcomes_have_their_reason(self):
        found = self.losses(
            a=[
                ended("r1", 1.0, "refused", "deadline"),
                sent("r2", 1.0, "i-1"),
                ended("r2", 2.0, "unknown", "timeout"),
                ended("r3", 2.0, "callergone", ""),
            ]
        )
        self.assertEqual("refused_deadline", found["r1"][0])
        self.assertEqual("unknown_timeout", found["r2"][0])
        self.assertNotIn("r3", found)

    def test_a_request_without_an_end_is_lost_with_its_vm(self):
        found = self.losses(a=[sent("r1", 1.0, "i-1")])
        self.assertEqual("no_end", found["r1"][0])

    def test_the_table_counts_by_kind_and_second(self):
        lines = whole("r1", 1.0, "i-1", 500) + whole("r2", 2.0, "i-1", 500)
        result = self.run_command("--seconds", a=[*lines, "{damaged"])
        rows = [each.split() for each in result.output.splitlines()]
        self.assertIn(
            [SERVICE, "own_error_500", "failed_here", "0", "1", "0.95"], rows
        )
        self.assertIn(["1", "own_error_500", "1"], rows)
        self.assertIn("1 damaged lines", result.output)
