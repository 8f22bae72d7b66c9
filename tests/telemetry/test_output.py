import os

import msgspec
import testtools

from primrosemill.telemetry import output


class OutputTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now = 0.0
        self.output = output.BoundedOutput(self.writer, lambda: self.now)

    def lines(self):
        data = os.read(self.reader, 2**20)
        return [msgspec.json.decode(line) for line in data.splitlines()]

    def test_each_line_is_one_json_object(self):
        self.output({"event": "a", "number": 1})
        self.output({"event": "b", "odd": {1, 2}.__class__})
        events = [line["event"] for line in self.lines()]
        self.assertEqual(["a", "b"], events)

    def test_a_reader_that_stops_never_blocks_the_writer(self):
        line = {"event": "x" * 1_000}
        for _ in range(2_000):
            self.now += 0.1
            self.output(line)
        self.assertGreater(self.output.dropped_lines, 1_000)
        os.read(self.reader, 2**20)
        counts = []
        for _ in range(20):
            self.now += 1.0
            self.output({"event": "on"})
            data = os.read(self.reader, 2**20)
            counts += [b"lines_left_out" in data]
        self.assertIn(True, counts)

    def test_the_rate_is_bounded_and_the_rest_is_counted(self):
        for _ in range(int(output.MAX_BURST_LINES) + 50):
            self.output({"event": "x"})
        self.assertEqual(50, self.output.dropped_lines)
        self.lines()
        self.now += 1.0
        self.output({"event": "y"})
        found = self.lines()
        self.assertEqual({"lines_left_out": 50}, found[-1])

    def test_a_reader_that_is_gone_is_no_fault(self):
        reader, writer = os.pipe()
        made = output.BoundedOutput(writer, lambda: self.now)
        os.close(reader)
        for _ in range(3):
            made({"event": "x"})
        os.close(writer)
