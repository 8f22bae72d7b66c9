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

    def test_stopped_reader_does_not_block_the_writer(self):
        line = {"event": "x" * 1_000}
        for _ in range(2_000):
            self.now += 0.1
            self.output(line)
        self.assertGreater(self.output.dropped_lines, 1_000)
        os.read(self.reader, 2**20)
        reported = []
        for _ in range(20):
            self.now += 1.0
            self.output({"event": "on"})
            data = os.read(self.reader, 2**20)
            reported += [b"lines_left_out" in data]
        self.assertIn(True, reported)

    def test_lines_over_the_rate_are_dropped_and_counted(self):
        for _ in range(int(output.MAX_BURST_LINES) + 50):
            self.output({"event": "x"})
        self.assertEqual(50, self.output.dropped_lines)
        self.lines()
        self.now += 1.0
        self.output({"event": "y"})
        lines = self.lines()
        self.assertEqual({"lines_left_out": 50}, lines[-1])

    def test_closed_reader_is_ignored(self):
        reader, writer = os.pipe()
        bounded_output = output.BoundedOutput(writer, lambda: self.now)
        os.close(reader)
        for _ in range(3):
            bounded_output({"event": "x"})
        os.close(writer)
