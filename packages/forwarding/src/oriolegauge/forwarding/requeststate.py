"""State of one request over all its attempts."""

from dataclasses import dataclass, field

from oriolegauge.core.bytebudget import ByteLease
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.dispatcher import Attempt
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.wholereply import WholeReply


@dataclass(slots=True)
class RequestState:
    """Hold the state of one request over all its attempts.

    `buffer_lease` covers the bytes that are buffered for it.
    `may_run_again` states whether the request may run on more than one server.
    `attempt_may_have_run` states that a server may have run an attempt that has
    ended. `failure` is the answer if no retry succeeds. `has_retry` states that
    a retry was taken for the next send. `next_attempt` was sent, with that
    retry, to replace the current attempt. `version` is that of the servers
    which may answer, None for any.
    """

    context: RequestContext
    trace: RequestTrace
    answer: Answer
    buffer_lease: ByteLease
    may_run_again: bool
    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    attempt_may_have_run: bool = False
    failure: WholeReply | None = None
    has_retry: bool = False
    next_attempt: Attempt | None = None
    version: str | None = None

    def note_sent(self, attempt: Attempt) -> None:
        """Count the attempt, which has used the retry taken for it."""
        self.sends += 1
        self.excluded.add(attempt.server.instance)
        self.has_retry = False

    def take_next_attempt(self) -> Attempt | None:
        """Return the attempt that was sent to replace the last one, if any."""
        attempt = self.next_attempt
        self.next_attempt = None
        return attempt
