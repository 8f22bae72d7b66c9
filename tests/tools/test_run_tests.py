import io
import pathlib
import tempfile

import subunit
import testtools

from tools import check_imports
from tools import run_tests


def stream_of(**statuses_by_id):
    buffer = io.BytesIO()
    result = subunit.StreamResultToBytes(buffer)
    for test_id, status in statuses_by_id.items():
        result.status(test_id=test_id, test_status="inprogress")
        result.status(test_id=test_id, test_status=status)
    return buffer.getvalue()


class VerdictTest(testtools.TestCase):
    def test_counts_each_status(self):
        stream = stream_of(a="success", b="fail", c="skip")
        verdict = run_tests.judge(stream, frozenset())
        self.assertEqual(run_tests.Verdict(1, 1, ("b",), ()), verdict)

    def test_a_known_red_test_is_no_failure(self):
        stream = stream_of(a="success", b="fail")
        verdict = run_tests.judge(stream, frozenset({"b"}))
        self.assertEqual(run_tests.Verdict(1, 0, (), ("b",)), verdict)

    def test_a_known_red_test_that_passes_is_named(self):
        verdict = run_tests.judge(stream_of(a="success"), frozenset({"a"}))
        self.assertEqual(run_tests.Verdict(1, 0, (), (), ("a",)), verdict)

    def test_a_run_without_results_of_its_own_is_a_failure(self):
        stream = stream_of(a="success")
        verdict = run_tests.judge_run(stream, stream, frozenset())
        self.assertEqual((0, (run_tests.NOT_RUN,)), verdict[:3:2])

    def test_a_test_that_never_ends_is_a_failure(self):
        stream = stream_of(a="inprogress")
        verdict = run_tests.judge(stream, frozenset())
        self.assertEqual(("a",), verdict.failed)


class ImportsTest(testtools.TestCase):
    def found_in(self, source):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "sample.py")
            path.write_text(source)
            return [
                item.name for item in check_imports.find_name_imports(path)
            ]

    def test_modules_pass(self):
        self.assertEqual([], self.found_in("from importlib import metadata"))

    def test_names_and_relative_imports_are_found(self):
        source = "from typing import NamedTuple\nfrom . import x"
        self.assertEqual(
            ["typing.NamedTuple", "None.x"], self.found_in(source)
        )
