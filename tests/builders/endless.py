"""Runs a VM's process beside instances or a store that send without end."""

import testtools
import trio

from primrosemill.measure import clients
from primrosemill.measure import endless
from tests.builders import misbehaving_clients

SECONDS = 2.5
TIME_LEFT = 5.0  # seconds that ordinary callers wait
MIN_REQUESTS = 40
# Others are served this soon beside it; an ordinary request takes 0.02 s.
MAX_HANG = 1.0  # seconds


def check(
    test: testtools.TestCase, place: endless.Place, shape: endless.Shape
) -> None:
    """Check that the VM stays within its memory and serves others."""
    result = trio.run(
        endless.play, place, shape, SECONDS, TIME_LEFT, MIN_REQUESTS
    )
    misbehaving_clients.check(test, result)
    details = clients.format_result(shape, result)
    test.assertLess(result.longest_hang, MAX_HANG, details)
