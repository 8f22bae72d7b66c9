import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).parents[2]
# What the adapter may say, nothing else of the product does.
NAMES = re.compile(
    r"Primrosemill-(Server-Signature|Not-Executed|Expect-Instance"
    r"|Request-Deadline|Instance-Load)|warmup_left_ms|traffic_split"
    r"|route_type|target_latency_ms|/-/(kv-|resolve|readiness)|op/config"
    r"|max_attempts|store_revision|idle_timeout_ms|Server-Leaving",
    re.IGNORECASE,
)
ALLOWED = ("platform", "standins")


class NamesTest(testtools.TestCase):
    def test_only_the_adapter_knows_the_names_of_the_wire(self):
        found = []
        for path in sorted((ROOT / "packages").rglob("*.py")):
            if path.relative_to(ROOT).parts[1] in ALLOWED:
                continue
            if "build" in path.parts:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if NAMES.search(line):
                    found.append(f"{path.relative_to(ROOT)}:{number}")
        self.assertEqual([], found)
