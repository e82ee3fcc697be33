"""Log writer that never blocks and limits the rate of lines."""

import os

from oriolegauge.gateway.boundedlog import BURST_LINES, BoundedWriter


class TestBoundedWriter:
    def test_full_pipe_never_blocks(self):
        """Guards against a daemon that waits for a slow reader of its logs."""
        reading, writing = os.pipe()
        writer = BoundedWriter(writing)
        for _ in range(BURST_LINES):
            writer.msg('x' * 1_000)
        assert writer.dropped > 0
        os.close(reading)
        writer.msg('after the reader closed the pipe')
        os.close(writing)

    def test_rate_of_lines_is_limited(self):
        """Guards against log lines that use up the processor time."""
        writing = os.open(os.devnull, os.O_WRONLY)
        writer = BoundedWriter(writing)
        for _ in range(3 * BURST_LINES):
            writer.msg('line')
        assert writer.dropped > BURST_LINES
        os.close(writing)
