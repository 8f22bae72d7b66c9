import json
import pathlib
import tempfile

from click import testing
import testtools

from primrosemill.cli import main

SERVICE = "reservations"


def log_line(event, request_id, time, **fields):
    return json.dumps(
        {"event": event, "request_id": request_id, "timestamp": time} | fields
    )


def request_sent(request_id, time, instance_id, chance=0.95):
    return log_line(
        "request_sent",
        request_id,
        time,
        service=SERVICE,
        instance_id=instance_id,
        chance=chance,
    )


def attempt_ended(request_id, time, instance_id, outcome):
    return log_line(
        "attempt_ended",
        request_id,
        time,
        instance_id=instance_id,
        outcome=outcome,
    )


def request_ended(request_id, time, ending, detail):
    return log_line(
        "request_ended", request_id, time, ending=ending, detail=detail
    )


def full_request(request_id, time, instance_id, status):
    return [
        request_sent(request_id, time, instance_id),
        attempt_ended(request_id, time + 0.1, instance_id, f"status_{status}"),
        request_ended(request_id, time + 0.1, "relayed", status),
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

    def find_losses(self, **lines_by_vm):
        result = self.run_command("--json", **lines_by_vm)
        keys = ("cause", "before", "better")
        columns = ("time", "id", "service", "cause", "vm", "instance")
        columns += ("chance", "before", "better")
        losses = {}
        for row in json.loads(result.output):
            values = dict(zip(columns, row, strict=True))
            losses[values["id"]] = tuple(values[key] for key in keys)
        return losses

    def test_successful_requests_are_not_reported(self):
        self.assertEqual(
            {}, self.find_losses(a=full_request("r1", 1.0, "i-1", 200))
        )

    def test_first_failure_after_a_success(self):
        lines = full_request("r1", 1.0, "i-1", 200) + full_request(
            "r2", 2.0, "i-1", 500
        )
        losses = self.find_losses(a=lines)
        self.assertEqual({"r2": ("own_error_500", "well", False)}, losses)

    def test_failure_that_another_vm_had_observed_before(self):
        losses = self.find_losses(
            a=full_request("r1", 1.0, "i-1", 500)
            + full_request("r2", 1.0, "i-2", 200),
            b=full_request("r3", 1.5, "i-1", 500),
        )
        self.assertEqual(
            ("own_error_500", "failed_elsewhere", True), losses["r3"]
        )
        self.assertEqual(
            ("own_error_500", "nothing_seen", False), losses["r1"]
        )

    def test_failure_that_the_same_vm_had_observed_before(self):
        lines = full_request("r1", 1.0, "i-1", 500) + full_request(
            "r2", 1.5, "i-1", 503
        )
        self.assertEqual(
            ("own_error_503", "failed_here", False),
            self.find_losses(a=lines)["r2"],
        )

    def test_old_outcomes_are_ignored(self):
        lines = full_request("r1", 1.0, "i-1", 500) + full_request(
            "r2", 9.0, "i-1", 500
        )
        self.assertEqual("nothing_seen", self.find_losses(a=lines)["r2"][1])

    def test_cause_contains_the_reason_of_refusals_and_unknown_outcomes(self):
        losses = self.find_losses(
            a=[
                request_ended("r1", 1.0, "refused", "deadline"),
                request_sent("r2", 1.0, "i-1"),
                request_ended("r2", 2.0, "unknown", "timeout"),
                request_ended("r3", 2.0, "callergone", ""),
            ]
        )
        self.assertEqual("refused_deadline", losses["r1"][0])
        self.assertEqual("unknown_timeout", losses["r2"][0])
        self.assertNotIn("r3", losses)

    def test_requests_without_an_end_are_lost(self):
        losses = self.find_losses(a=[request_sent("r1", 1.0, "i-1")])
        self.assertEqual("no_end", losses["r1"][0])

    def test_tables_count_losses_by_kind_and_by_second(self):
        lines = full_request("r1", 1.0, "i-1", 500) + full_request(
            "r2", 2.0, "i-1", 500
        )
        result = self.run_command("--seconds", a=[*lines, "{damaged"])
        rows = [row.split() for row in result.output.splitlines()]
        self.assertIn(
            [SERVICE, "own_error_500", "failed_here", "0", "1", "0.95"], rows
        )
        self.assertIn(["1", "own_error_500", "1"], rows)
        self.assertIn("1 damaged lines", result.output)
