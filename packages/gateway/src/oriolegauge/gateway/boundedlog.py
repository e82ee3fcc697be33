"""Writer of log lines to standard output that never blocks.

Drops lines above a maximum rate, and while the reader of the logs is slow.
"""

import os
import sys
import time

from oriolegauge.core.jsonlogs import configure_json_logs

# A daemon under full load writes some 30 lines a second; a burst of refused
# requests may write ten times as many.
MAX_LINES_PER_S = 300
BURST_LINES = 600
_STDOUT = 1


class BoundedWriter:
    """Write lines to a file descriptor; drop those that it doesn't accept."""

    def __init__(self, descriptor: int = _STDOUT) -> None:
        """Make the descriptor non-blocking."""
        self._descriptor = descriptor
        self._credit = float(BURST_LINES)
        self._credited_at = time.monotonic()
        self._unwritten = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write a line, or count it as dropped."""
        now = time.monotonic()
        self._credit = min(
            BURST_LINES,
            self._credit + (now - self._credited_at) * MAX_LINES_PER_S,
        )
        self._credited_at = now
        if self._credit < 1 or not self._flush():
            self.dropped += 1
            return
        self._credit -= 1
        self._unwritten = f'{message}\n'.encode()
        self._flush()

    log = debug = info = warning = error = critical = msg
    warn = fatal = failure = err = exception = msg

    def _flush(self) -> bool:
        """Write buffered bytes; return whether none are left."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader closed the pipe, so the error can't be logged.
                self._unwritten = b''
                self.dropped += 1
                return True
            self._unwritten = self._unwritten[written:]
        return True


def configure_bounded_logs() -> BoundedWriter:
    """Send JSON log lines to standard output; return the writer."""
    sys.stdout.flush()
    writer = BoundedWriter()
    configure_json_logs(lambda *_: writer, is_cached=True)
    return writer
