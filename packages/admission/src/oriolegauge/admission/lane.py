"""Queue of the waiting jobs of one team that fit the same backend servers.

Jobs of a lane are interchangeable for placement, so the admission queue looks
only at the first job of each lane.
"""

import heapq
from dataclasses import dataclass

from oriolegauge.admission.job import Job


@dataclass(frozen=True, slots=True)
class LaneKey:
    """Identify jobs that may run on the same backend servers."""

    model: str
    allowed_servers: frozenset[str] | None
    is_long: bool


class Lane:
    """Order jobs by rank: predicted tokens, less a credit for waiting."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, Job]] = []
        self._removed: set[int] = set()

    def __len__(self) -> int:
        return len(self._heap) - len(self._removed)

    def push(self, rank: float, position: int, job: Job) -> None:
        """Add a job; a lower rank goes first, then a lower position."""
        heapq.heappush(self._heap, (rank, position, job))

    def head(self) -> tuple[float, int, Job]:
        """Return rank, position and job of the first job; must not be empty."""
        while self._heap[0][1] in self._removed:
            self._removed.discard(heapq.heappop(self._heap)[1])
        return self._heap[0]

    def remove(self, position: int) -> None:
        """Remove the job that was pushed with that position."""
        self._removed.add(position)
        if len(self._removed) * 2 > len(self._heap):
            self._compact()

    def tokens_before(self, rank: float) -> int:
        """Return the predicted tokens of jobs up to that rank."""
        return sum(
            job.predicted_tokens
            for job_rank, position, job in self._heap
            if job_rank <= rank and position not in self._removed
        )

    def _compact(self) -> None:
        self._heap = [
            entry for entry in self._heap if entry[1] not in self._removed
        ]
        self._removed.clear()
        heapq.heapify(self._heap)
