"""Run every test and close with the verdict that CI reads.

A test named in ``KNOWN-RED.txt`` may fail: it is printed and not counted as
a failure. One that passes again is named, so that it can leave the file.
"""

import io
import pathlib
import subprocess
import sys
import typing

import subunit
import testtools

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
RED_PREFIX = "test: "
NOT_RUN = "the run itself: no test was started"


class Verdict(typing.NamedTuple):
    """Counts of one run, with the names of what failed."""

    passed: int
    skipped: int
    failed: tuple[str, ...]
    known_red: tuple[str, ...]
    mended: tuple[str, ...] = ()


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Return the ids of the tests that may fail."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(RED_PREFIX).strip()
        for line in lines
        if line.startswith(RED_PREFIX)
    )


def judge(stream: bytes, known_red: frozenset[str]) -> Verdict:
    """Count the results in a subunit v2 stream."""
    passed: list[str] = []
    skipped: list[str] = []
    failed: list[str] = []
    red: list[str] = []
    mended: list[str] = []

    def on_test(test: dict) -> None:
        test_id, status = test["id"], test["status"]
        if status in ("success", "xfail"):
            passed.append(test_id)
            if test_id in known_red:
                mended.append(test_id)
        elif status == "skip":
            skipped.append(test_id)
        elif test_id in known_red:
            red.append(test_id)
        else:
            failed.append(test_id)

    result = testtools.StreamToDict(on_test)
    result.startTestRun()
    subunit.ByteStreamToStreamResult(io.BytesIO(stream)).run(result)
    result.stopTestRun()
    return Verdict(
        len(passed), len(skipped), tuple(failed), tuple(red), tuple(mended)
    )


def judge_run(
    before: bytes, after: bytes, known_red: frozenset[str]
) -> Verdict:
    """Judge the last stream, if the run has left one.

    A stream holds times, so one that is as before is not of this run: a
    test module that can't be imported ends the run without a result.
    """
    if after == before:
        return Verdict(0, 0, (NOT_RUN,), ())
    return judge(after, known_red)


def read_last_stream() -> bytes:
    """Return the subunit stream of the last run, empty if there is none."""
    last = subprocess.run(
        [sys.executable, "-m", "stestr", "last", "--subunit"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    return last.stdout


def main() -> int:
    """Run stestr, print the verdict and return the exit status."""
    before = read_last_stream()
    subprocess.run([sys.executable, "-m", "stestr", "run", *sys.argv[1:]])
    verdict = judge_run(before, read_last_stream(), read_known_red(KNOWN_RED))
    for test_id in verdict.known_red:
        print(f"known red: {test_id}")
    for test_id in verdict.mended:
        print(f"passes again, may leave {KNOWN_RED}: {test_id}")
    for test_id in verdict.failed:
        print(f"failed: {test_id}")
    counts = f"{verdict.passed} passed, {len(verdict.failed)} failed"
    if verdict.skipped:
        counts += f", {verdict.skipped} skipped"
    print(counts)
    return 1 if verdict.failed or not verdict.passed else 0


if __name__ == "__main__":
    sys.exit(main())
