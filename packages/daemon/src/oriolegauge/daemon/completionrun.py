"""State of one completion across its attempts."""

from dataclasses import dataclass, field

from oriolegauge.admission import Job
from oriolegauge.backends import EngineRequest
from oriolegauge.budget import Reservation
from oriolegauge.daemon.callerrequest import CallerRequest
from oriolegauge.daemon.completionbody import CompletionBody
from oriolegauge.daemon.slot import SlotRequest


@dataclass
class CompletionRun:
    """Hold the request, its reservation and what was sent so far."""

    caller: CallerRequest
    body: CompletionBody
    request: EngineRequest
    reservation: Reservation
    slot_request: SlotRequest
    fingerprint: str
    started_at: float
    sent_events: int = 0
    tried: set[str] = field(default_factory=set)
    paused: Job | None = None

    @property
    def request_id(self) -> str:
        """Return the id that engines and bills carry."""
        return self.caller.request_id

    @property
    def output_cap(self) -> int | None:
        """Return the output tokens that the budget allowed, if fewer."""
        cap = self.request.max_tokens
        return cap if cap < self.body.wanted_output else None
