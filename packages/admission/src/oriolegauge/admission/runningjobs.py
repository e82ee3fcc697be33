"""Running jobs, with the number of stragglers per backend server."""

from collections import Counter
from dataclasses import dataclass

from oriolegauge.admission.job import Job


@dataclass(slots=True)
class _Running:
    job: Job
    started_at: float
    is_long: bool
    server: str | None = None


class RunningJobs:
    """Track jobs from leaving the queue to their end."""

    def __init__(self) -> None:
        """Start empty."""
        self._running: dict[str, _Running] = {}
        self._stragglers: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._running)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._running

    def start(self, job: Job, *, is_long: bool, now: float) -> None:
        """Add a job that was taken from the queue."""
        self._running[job.request_id] = _Running(job, now, is_long)

    def longest(self, server: str, before: float) -> Job | None:
        """Return the straggler that has run longest on a server.

        Jobs that started after `before` are left out.
        """
        found = [
            running
            for running in self._running.values()
            if running.is_long
            and running.server == server
            and running.started_at <= before
        ]
        if not found:
            return None
        return min(found, key=lambda running: running.started_at).job

    def set_server(self, request_id: str, server: str) -> None:
        """Record the backend server of a job, also when it changes."""
        running = self._running.get(request_id)
        if running is None:
            return
        self._count(running, -1)
        running.server = server
        self._count(running, 1)

    def is_long(self, request_id: str) -> bool:
        """Return whether a running job counts as a straggler."""
        running = self._running.get(request_id)
        return running is not None and running.is_long

    def mark_long(self, request_id: str) -> None:
        """Mark a running job as a straggler."""
        running = self._running.get(request_id)
        if running is None or running.is_long:
            return
        running.is_long = True
        self._count(running, 1)

    def end(self, request_id: str, now: float) -> float | None:
        """Remove a job; return its running time in seconds."""
        running = self._running.pop(request_id, None)
        if running is None:
            return None
        self._count(running, -1)
        return now - running.started_at

    def stragglers(self, server: str, *, besides: str | None = None) -> int:
        """Count the stragglers on a backend server without that job."""
        own = self._running.get(besides) if besides else None
        counted = own and own.is_long and own.server == server
        return self._stragglers[server] - bool(counted)

    def _count(self, running: _Running, change: int) -> None:
        if not running.is_long or running.server is None:
            return
        self._stragglers[running.server] += change
        if not self._stragglers[running.server]:
            self._stragglers.pop(running.server)
