"""Requests that wait at the gate of one service.

Ordered by priority, then slack, then work. Within a class the workspace that
was served the least work goes first, so that a flood of one workspace does not
delay the others.
"""

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from oriolegauge.admission.gatedrequest import GatedRequest
from oriolegauge.admission.teamcounters import TeamCounters


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """Hold a request that waits; times are loop seconds.

    At `due_at` it is sent if it is promised, else decided again. It can still
    meet its objective if it is sent until `slack_ends_at`.
    """

    request: GatedRequest
    work_s: float
    due_at: float
    slack_ends_at: float
    is_promised: bool

    @property
    def number(self) -> int:
        """Return the number of the request."""
        return self.request.number


@dataclass(slots=True)
class LineBounds:
    """Bound the waiting requests of a daemon by count and bytes.

    A workspace may use as much as it leaves free within its class, so that a
    flood by one always leaves room for the others.
    """

    free_count: int
    free_bytes: int

    def admits(self, held: tuple[int, int], body_bytes: int) -> bool:
        """State whether one more fits beside the count and bytes held."""
        held_count, held_bytes = held
        return (
            held_count < self.free_count
            and held_bytes + body_bytes <= self.free_bytes
        )

    def add(self, count: int, body_bytes: int) -> None:
        """Take room; negative numbers free it."""
        self.free_count -= count
        self.free_bytes -= body_bytes


class _Class:
    """Hold the waiting requests of one priority."""

    def __init__(self) -> None:
        self.heaps: dict[str, list[tuple[float, float, int]]] = {}
        self.counts: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.work: dict[str, float] = {}
        self.work_by_objective: Counter[float] = Counter()
        self.counters = TeamCounters()


class WaitingLine:
    """Order the waiting requests of a service."""

    def __init__(self, bounds: LineBounds) -> None:
        """Share `bounds` with the lines of other services."""
        self._bounds = bounds
        self._classes: dict[int, _Class] = {}
        self._waiting: dict[int, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def priorities(self) -> Sequence[int]:
        """Return the classes that wait, the most urgent first."""
        return sorted(
            priority for priority, held in self._classes.items() if held.heaps
        )

    def may_add(self, request: GatedRequest) -> bool:
        """State whether the bounds leave room for the request."""
        held = self._classes.get(request.priority)
        used = (0, 0)
        if held:
            workspace = request.workspace
            used = (held.counts[workspace], held.bytes[workspace])
        return self._bounds.admits(used, request.body_bytes)

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        request = waiting.request
        held = self._classes.setdefault(request.priority, _Class())
        workspace = request.workspace
        if workspace not in held.heaps:
            held.counters.enter(workspace, held.heaps)
        entry = (waiting.slack_ends_at, waiting.work_s, waiting.number)
        heapq.heappush(held.heaps.setdefault(workspace, []), entry)
        held.counts[workspace] += 1
        held.bytes[workspace] += request.body_bytes
        held.work[workspace] = held.work.get(workspace, 0) + waiting.work_s
        held.work_by_objective[request.objective_s] += waiting.work_s
        self._waiting[waiting.number] = waiting
        self._bounds.add(1, request.body_bytes)

    def head(self, priority: int) -> WaitingRequest | None:
        """Return the next request of a class, or None."""
        held = self._classes.get(priority)
        if held is None or not held.heaps:
            return None
        workspace = min(held.heaps, key=held.counters.__getitem__)
        heap = held.heaps[workspace]
        while heap[0][2] not in self._waiting:
            heapq.heappop(heap)
        return self._waiting[heap[0][2]]

    def remove(self, number: int) -> WaitingRequest | None:
        """Remove a request; return None if it does not wait."""
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return None
        request = waiting.request
        held = self._classes[request.priority]
        workspace = request.workspace
        self._bounds.add(-1, -request.body_bytes)
        held.counts[workspace] -= 1
        held.bytes[workspace] -= request.body_bytes
        held.work[workspace] -= waiting.work_s
        held.work_by_objective[request.objective_s] -= waiting.work_s
        if not held.counts[workspace]:
            del held.heaps[workspace]
            for known in (held.counts, held.bytes, held.work):
                known.pop(workspace)
            held.counters.leave(workspace, held.heaps)
        elif len(held.heaps[workspace]) > 2 * held.counts[workspace] + 8:
            self._compact(held, workspace)
        return waiting

    def work_s(self, priority: int) -> float:
        """Return the slot time of all waiting requests of a class."""
        held = self._classes.get(priority)
        return sum(held.work.values()) if held else 0

    def charge(self, request: GatedRequest, work_s: float) -> None:
        """Add the work of a request that goes on to its workspace."""
        held = self._classes.get(request.priority)
        if held:
            held.counters.charge(request.workspace, work_s)

    def has_before(self, priority: int) -> bool:
        """State whether requests wait that are at least as urgent."""
        return any(
            known <= priority and held.heaps
            for known, held in self._classes.items()
        )

    def work_before(self, request: GatedRequest) -> float:
        """Return the work that goes before a new request.

        Each other workspace is served at most as much as its own meanwhile, and
        requests with a longer objective have more slack.
        """
        urgent = sum(
            self.work_s(known)
            for known in self._classes
            if known < request.priority
        )
        held = self._classes.get(request.priority)
        if held is None:
            return urgent
        workspaces = len(held.heaps.keys() | {request.workspace})
        in_turn = held.work.get(request.workspace, 0) * workspaces
        # Of each other workspace one request goes first at least.
        ahead = max(in_turn, self._heads_work(held, request.workspace))
        earlier = sum(
            work
            for objective_s, work in held.work_by_objective.items()
            if objective_s <= request.objective_s
        )
        return urgent + min(earlier, ahead)

    def _heads_work(self, held: _Class, workspace: str) -> float:
        return sum(
            held.work[known] / held.counts[known]
            for known in held.heaps
            if known != workspace
        )

    def _compact(self, held: _Class, workspace: str) -> None:
        kept = [
            entry
            for entry in held.heaps[workspace]
            if entry[2] in self._waiting
        ]
        heapq.heapify(kept)
        held.heaps[workspace] = kept
