"""Gate of one service: state between the decisions on its requests."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from oriolegauge.admission.admittedshares import AdmittedShares
from oriolegauge.admission.classmarks import (
    RISE_AVERAGE_S,
    SEEN_S,
    ClassMarks,
)
from oriolegauge.admission.classwork import ClassWork
from oriolegauge.admission.gatedrequest import GatedRequest
from oriolegauge.admission.ownexperience import HALF_LIFE_S, OwnExperience
from oriolegauge.admission.scarcity import (
    HOLD_SHARE,
    Ample,
    Condition,
    Decision,
    GoOn,
    Need,
    Refuse,
    Supply,
    Wait,
    assess,
    decide,
)
from oriolegauge.admission.slottimes import SlotTimes
from oriolegauge.admission.waitingline import (
    LineBounds,
    WaitingLine,
    WaitingRequest,
)
from oriolegauge.admission.workspaceshares import WorkspaceShares

# Each class that waits gets this share of what is admitted.
CLASS_FLOOR = 0.05
# Share of the longest pause of a service's streams: a mean backlog of reading
# of this length leaves no room for prompts longer than the mean, since servers
# with more than the mean would delay their streams beyond the pause.
READING_SHARE = 0.5
# Weight of one prompt in the mean length.
PROMPT_SMOOTHING = 0.05
# Weight of one request in the mean slot time.
WORK_SMOOTHING = 0.05
# Slots that own requests have freed since the last loads, kept for the line.
MAX_FREED = 2.0
# Work of a request whose slot time is unknown.
MIN_WORK_S = 0.001
# After this time without scarcity, loads of the last placement are new enough.
TIGHT_S = 2.0
# Loads that claim a shortage for this time while all answers are prompt are
# wrong. A true one ends sooner, since the gate lets requests end.
CLAIM_S = 3.0
# While slots are short, a workspace waits that much longer for each equal share
# of the work that it had beyond its own.
TURN_S = 1.0
# Slots count as short for this time after a request found none free.
SCARCE_S = 0.25
# Share of the slots that a class gets at least, beside more urgent ones.
LEAST_SLOT_SHARE = CLASS_FLOOR
# Expected waits grow by the first factor for each promise that ended without a
# free slot, and shrink by the second for each request that found one.
START_FACTOR = 4.0
MISSED_FACTOR = 1.5
FOUND_FACTOR = 0.95
MAX_FACTOR = 32.0
# Refused callers return spread over this further share of the time told.
RETRY_JITTER = 0.25
MIN_RETRY_S = 0.2
MAX_RETRY_S = 60.0

Look = Callable[[GatedRequest], Supply | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class GateTools:
    """Hold what the gates of all services of a daemon share.

    `members` returns the number of daemons in the fleet.
    """

    bounds: LineBounds
    shares: AdmittedShares
    slot_times: SlotTimes
    rng: random.Random
    members: Callable[[], int]


class ServiceGate:
    """Decide on the requests of one service, and keep those that wait."""

    def __init__(self, tools: GateTools) -> None:
        """Start without requests."""
        self._tools = tools
        self._marks = ClassMarks()
        self._line = WaitingLine(tools.bounds)
        self._experience = OwnExperience()
        self._class_work = ClassWork()
        self._workspaces = WorkspaceShares()
        self._pauses: dict[str, tuple[float, float]] = {}
        self._mean_prompt: float = 0
        self._mean_work_s: float = 0
        self._free_slots: float = 0
        self._is_full = False
        self._wait_factors: dict[int, float] = {}
        self._floor_credits: dict[int, float] = {}
        self._blind_credits: dict[int, float] = {}
        self._sizes: dict[int, int] = {}
        self._scarce_at = -math.inf
        self._class_scarce_at: dict[int, float] = {}
        self._claimed_since = math.inf

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._line)

    def is_tight(self, now: float) -> bool:
        """State whether the service was scarce lately."""
        return bool(self._line) or now - self._scarce_at < TIGHT_S

    def arrive(
        self, request: GatedRequest, supply: Supply | None, now: float
    ) -> tuple[Decision, WaitingRequest | None]:
        """Decide on a new request; return its place in the line if it waits.

        Without fresh loads `supply` is None.
        """
        self._note_arrival(request, supply, now)
        tools = self._tools
        tokens = request.prompt_tokens + request.output_tokens
        size = tools.slot_times.size(request.kind, tokens)
        is_owed = tools.shares.offer(
            kind=request.kind, workspace=request.workspace or None, size=size
        )
        decision = self._decide(request, supply, now)
        if isinstance(decision, Wait) and not self._line.may_add(request):
            decision = Refuse(
                'too many requests wait', self._retry_s(decision.seconds)
            )
        if isinstance(decision, GoOn):
            self._free_slots = max(0, self._free_slots - 1)
        if isinstance(decision, Refuse) and is_owed:
            decision = GoOn()
        return decision, self._apply(decision, request, size, now)

    def preview(
        self, request: GatedRequest, supply: Supply | None, now: float
    ) -> tuple[Condition | None, Decision]:
        """Return the decision on a request, which changes nothing.

        The condition is None if there are no loads to decide by.
        """
        if supply is None or math.isinf(supply.wait_s):
            return None, GoOn()
        must_queue = self._must_queue(request, now)
        return self._weigh(request, supply, now, has_line=must_queue)

    def due(
        self, number: int, look: Look, now: float
    ) -> tuple[Decision, WaitingRequest | None]:
        """Decide on a request whose time in the line has passed."""
        waiting = self._line.remove(number)
        if waiting is None:
            return GoOn(), None
        size = self._sizes.pop(number, 0)
        request = waiting.request
        decision: Decision = GoOn()
        if waiting.is_promised:
            self._note_wait(request.priority, found_slot=False)
        else:
            decision = self._decide(request, look(request), now, is_held=True)
            is_owed = self._tools.shares.owes(
                kind=request.kind,
                workspace=request.workspace or None,
                size=size,
            )
            if isinstance(decision, Refuse) and is_owed:
                decision = GoOn()
        return decision, self._apply(decision, request, size, now)

    def release(self, look: Look, now: float) -> list[int]:
        """Take requests that go on now from the line; return their numbers."""
        released: list[int] = []
        is_blocked = False
        for priority in self._line.priorities:
            while waiting := self._line.head(priority):
                is_blocked = is_blocked or not self._has_slot(
                    waiting, look, now
                )
                if is_blocked and not self._is_floor_due(waiting):
                    break
                self._line.remove(waiting.number)
                size = self._sizes.pop(waiting.number, 0)
                self._note_admitted(waiting.request, size, now)
                released.append(waiting.number)
        return released

    def note_loads(self, supply: Supply | None, now: float) -> None:
        """Count this daemon's part of the free slots in fresh loads."""
        if supply is None:
            return
        self._marks.note_busy(supply.busy_share, now)
        priorities = self._line.priorities
        mark = self._marks.lowest
        if priorities:
            mark = self._marks.mark(priorities[0])
        self._is_full = supply.busy_share >= mark
        free = max(0, mark - supply.busy_share) * supply.slots
        own = free / max(1, self._tools.members())
        # Rounded at random, so that all daemons together use the whole.
        self._free_slots = math.floor(own + self._tools.rng.random())

    def leave(self, number: int) -> None:
        """Remove a waiting request whose caller has left."""
        self._line.remove(number)
        self._sizes.pop(number, None)

    def ended(self) -> None:
        """Note that a request of this daemon has freed its slot."""
        if not self._is_full:
            self._free_slots = min(MAX_FREED, self._free_slots + 1)

    def answered(self, now: float, objective_share: float) -> None:
        """Record a first answer after that share of its objective."""
        self._experience.answered(now, objective_share)

    def rejected(self, now: float) -> None:
        """Record that a full server rejected a request."""
        self._experience.rejected(now)

    def slack_s(self, waiting: WaitingRequest, now: float) -> float:
        """Return how much longer a request can wait for its objective."""
        return waiting.slack_ends_at - now

    def _note_arrival(
        self, request: GatedRequest, supply: Supply | None, now: float
    ) -> None:
        self._marks.seen(request.priority, now)
        if supply:
            self._marks.note_busy(supply.busy_share, now)
        if request.longest_pause_s:
            self._pauses[request.kind] = (request.longest_pause_s, now)
        if request.prompt_tokens:
            change = request.prompt_tokens - self._mean_prompt
            self._mean_prompt += PROMPT_SMOOTHING * change

    def _decide(
        self,
        request: GatedRequest,
        supply: Supply | None,
        now: float,
        *,
        is_held: bool = False,
    ) -> Decision:
        if supply is None or self._contradicts(request, supply, now):
            return self._decide_blind(request, now)
        if math.isinf(supply.wait_s):
            # Without a server the dispatcher tells the reason.
            return GoOn()
        condition, decision = self._weigh(
            request, supply, now, is_held=is_held, has_line=False
        )
        if not isinstance(condition, Ample):
            self._scarce_at = now
            self._class_scarce_at[request.priority] = now
        elif not is_held and self._must_queue(request, now):
            decision = self._weigh(request, supply, now, has_line=True)[1]
        if isinstance(decision, Refuse):
            return replace(
                decision, retry_after_s=self._retry_s(decision.retry_after_s)
            )
        return decision

    def _weigh(
        self,
        request: GatedRequest,
        supply: Supply,
        now: float,
        *,
        has_line: bool,
        is_held: bool = False,
    ) -> tuple[Condition, Decision]:
        need = self._need(request, now)
        if is_held:
            need = replace(need, hold_s=0)
        condition = assess(
            need,
            self._averaged(request, supply),
            queue_s=self._queue_s(request, supply, now),
            has_line=has_line,
        )
        return condition, decide(need, condition)

    def _averaged(self, request: GatedRequest, supply: Supply) -> Supply:
        """Return loads that hold for as long as the request.

        Slots that short calls take are free again before others hear of it.
        """
        is_known = self._tools.slot_times.is_known(request.kind)
        if not is_known or self._work_s(request) > RISE_AVERAGE_S:
            return supply
        busy_share = min(supply.busy_share, self._marks.average_busy)
        return replace(supply, busy_share=busy_share)

    def _must_queue(self, request: GatedRequest, now: float) -> bool:
        """State whether a new request comes after others.

        While slots are short, requests of lower classes share the free ones
        out among the daemons, or a dip of the load would admit too many.
        """
        if self._line.has_before(request.priority):
            return True
        scarce_at = self._class_scarce_at.get(request.priority, -math.inf)
        if now - scarce_at < SCARCE_S and self._turn_s(request):
            return True
        is_paced = self._marks.rank(request.priority) and self.is_tight(now)
        return bool(is_paced) and self._free_slots < 1

    def _turn_s(self, request: GatedRequest) -> float:
        """Return the time until it is the turn of the request's workspace."""
        return TURN_S * self._workspaces.excess(
            request.priority, request.workspace
        )

    def _contradicts(
        self, request: GatedRequest, supply: Supply, now: float
    ) -> bool:
        """State whether loads claim a shortage that callers don't see."""
        if supply.busy_share <= 1 and supply.wait_s <= request.objective_s:
            self._claimed_since = math.inf
            return False
        self._claimed_since = min(self._claimed_since, now)
        is_lasting = now - self._claimed_since >= CLAIM_S
        return is_lasting and self._experience.is_calm(now)

    def _decide_blind(self, request: GatedRequest, now: float) -> Decision:
        priority = request.priority
        share = self._experience.admitted_share(
            self._marks.rank(priority), self._marks.ranks(), now
        )
        credit = self._blind_credits.get(priority, 0) + share
        if credit >= 1:
            self._blind_credits[priority] = credit - 1
            return GoOn()
        self._blind_credits[priority] = credit
        return Refuse(
            'full servers reject requests', self._retry_s(HALF_LIFE_S)
        )

    def _need(self, request: GatedRequest, now: float) -> Need:
        held_s = now - request.arrived_at
        left_s = request.deadline - now
        return Need(
            rank=self._marks.rank(request.priority),
            mark=self._marks.mark(request.priority),
            objective_s=request.objective_s,
            objective_left_s=min(request.objective_s - held_s, left_s),
            left_s=left_s,
            hold_s=HOLD_SHARE * request.objective_s - held_s,
            reading_bound_s=self._reading_bound_s(request, now),
            share_ahead=self._share_ahead(request, now),
        )

    def _share_ahead(self, request: GatedRequest, now: float) -> float:
        """Return the share of the work that an engine puts before a request.

        This daemon's own requests stand for those of all. Servers without
        prompts know no priorities.
        """
        if not request.prompt_tokens:
            return 1
        if self._marks.rank(request.priority) + 1 >= self._marks.ranks():
            return 1
        return self._class_work.share_up_to(request.priority, now)

    def _reading_bound_s(self, request: GatedRequest, now: float) -> float:
        if request.prompt_tokens <= self._mean_prompt:
            return math.inf
        pauses = [
            pause for pause, at in self._pauses.values() if now - at < SEEN_S
        ]
        return READING_SHARE * min(pauses, default=math.inf)

    def _queue_s(
        self, request: GatedRequest, supply: Supply, now: float
    ) -> float | None:
        """Return the expected wait for a slot, None if it is unknown.

        It is not known for plain calls, which are shorter than loads are old.
        The other daemons are taken to have as much waiting as this one, so that
        the estimate is right in the mean over all daemons.
        """
        is_known = self._tools.slot_times.is_known(request.kind)
        if not (request.prompt_tokens and is_known):
            return None
        need = self._need(request, now)
        urgent_share = self._class_work.share_up_to(request.priority - 1, now)
        left = need.mark - min(1, supply.busy_share) * urgent_share
        slots = supply.slots * max(LEAST_SLOT_SHARE, left)
        line_s = self._line.work_before(request) * self._tools.members()
        # Slots taken beyond the mark are free again after a mean slot time.
        excess = max(0, supply.busy_share * need.share_ahead - need.mark)
        return (
            self._turn_s(request)
            + excess * self._mean_work_s
            + self._wait_factors.get(request.priority, START_FACTOR)
            * (line_s + self._work_s(request))
            / max(1, slots)
        )

    def _note_wait(self, priority: int, *, found_slot: bool) -> None:
        """Correct the expected wait of a class by what came of the last."""
        known = self._wait_factors.get(priority, START_FACTOR)
        change = FOUND_FACTOR if found_slot else MISSED_FACTOR
        self._wait_factors[priority] = min(MAX_FACTOR, max(1, known * change))

    def _work_s(self, request: GatedRequest) -> float:
        return max(
            MIN_WORK_S,
            self._tools.slot_times.work_s(
                request.kind, request.prompt_tokens, request.output_tokens
            ),
        )

    def _apply(
        self, decision: Decision, request: GatedRequest, size: int, now: float
    ) -> WaitingRequest | None:
        """Record a decision; return the request's place if it waits."""
        match decision:
            case GoOn():
                self._note_admitted(request, size, now)
            case Wait():
                return self._enter(request, decision, size, now)
            case Refuse():
                self._note(request, size, admitted=False)
        return None

    def _enter(
        self, request: GatedRequest, wait: Wait, size: int, now: float
    ) -> WaitingRequest:
        ends_at = min(
            request.arrived_at + request.objective_s, request.deadline
        )
        reading_s = self._tools.slot_times.reading_s(
            request.kind, request.prompt_tokens
        )
        waiting = WaitingRequest(
            request=request,
            work_s=self._work_s(request),
            due_at=now + wait.seconds,
            slack_ends_at=max(now + wait.seconds, ends_at - reading_s),
            is_promised=wait.is_promised,
        )
        self._line.push(waiting)
        self._sizes[waiting.number] = size
        return waiting

    def _has_slot(
        self, waiting: WaitingRequest, look: Look, now: float
    ) -> bool:
        if self._free_slots < 1:
            return False
        request = waiting.request
        supply = look(request)
        if supply is not None:
            condition = assess(
                self._need(request, now),
                self._averaged(request, supply),
                queue_s=0,
                has_line=False,
            )
            if not isinstance(condition, Ample):
                return False
        self._free_slots -= 1
        self._note_wait(request.priority, found_slot=True)
        return True

    def _is_floor_due(self, waiting: WaitingRequest) -> bool:
        priority = waiting.request.priority
        credit = self._floor_credits.get(priority, 0)
        if credit < waiting.work_s:
            return False
        self._floor_credits[priority] = credit - waiting.work_s
        return True

    def _retry_s(self, seconds: float) -> float:
        spread = 1 + RETRY_JITTER * self._tools.rng.random()
        return min(MAX_RETRY_S, max(MIN_RETRY_S, seconds)) * spread

    def _note_admitted(
        self, request: GatedRequest, size: int, now: float
    ) -> None:
        work_s = self._work_s(request)
        self._class_work.add(request.priority, work_s, now)
        self._mean_work_s += WORK_SMOOTHING * (work_s - self._mean_work_s)
        self._line.charge(request, work_s)
        self._workspaces.add(request.priority, request.workspace, work_s, now)
        earned = work_s * CLASS_FLOOR / (1 - CLASS_FLOOR)
        for priority in self._line.priorities:
            if priority != request.priority:
                credit = self._floor_credits.get(priority, 0) + earned
                self._floor_credits[priority] = min(
                    credit, self._line.work_s(priority)
                )
        self._note(request, size, admitted=True)

    def _note(
        self, request: GatedRequest, size: int, *, admitted: bool
    ) -> None:
        self._tools.shares.note(
            kind=request.kind,
            workspace=request.workspace or None,
            size=size,
            admitted=admitted,
        )
