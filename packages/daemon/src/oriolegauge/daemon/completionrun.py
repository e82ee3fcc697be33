"""State of one completion request across its attempts."""

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
    engine_request: EngineRequest
    reservation: Reservation
    slot_request: SlotRequest
    fingerprint: str
    started_at: float
    sent_events: int = 0
    tried_servers: set[str] = field(default_factory=set)
    paused_job: Job | None = None

    @property
    def request_id(self) -> str:
        """Return the id that is sent to engines and in bills."""
        return self.caller.request_id

    @property
    def output_cap(self) -> int | None:
        """Return the output tokens that fit the budget, if it limits them."""
        cap = self.engine_request.max_tokens
        return cap if cap < self.body.requested_output_tokens else None
