"""Route, deadline and expected work of an admitted request, and its trace."""

from dataclasses import dataclass, field

from oriolegauge.core.errors import InvalidRequestError
from oriolegauge.forwarding.callerrequest import CallerRequest
from oriolegauge.forwarding.route import RequestKind, Route
from oriolegauge.routing.work import PromptPart, Work

MAX_PROMPT_PARTS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestContext:
    """Hold the decisions that apply to all attempts of a request.

    `deadline` is loop time in seconds; `caller_deadline` that until which the
    caller waits, also for a repeated request. `is_relayed` states that it came
    from another daemon, which reaches no server.
    """

    request: CallerRequest
    request_id: str
    route: Route
    service: str
    workspace: str | None
    priority: int
    deadline: float
    caller_deadline: float
    work: Work
    tokens_per_event: int
    is_relayed: bool = False

    @property
    def is_stream(self) -> bool:
        """State whether the caller may get a stream of events."""
        is_stream_route = self.route.kind is RequestKind.STREAM
        return is_stream_route and not self.request.is_head


@dataclass(slots=True)
class RequestTrace:
    """Record the attempts and events of a request for logging and billing.

    `version` is that of the servers which may answer a stream, `resumes` the
    caller's attempt that began it. `expected_s` is the expected time to the
    first answer at the last send.
    """

    attempts: list[str] = field(default_factory=list)
    sends: int = 0
    may_have_run: bool = False
    events: int = 0
    first_send_s: float | None = None
    first_answer_s: float | None = None
    expected_s: float | None = None
    longest_pause_s: float = 0
    last_event_at: float | None = None
    version: str | None = None
    resumes: str | None = None
    outcome: str = 'refused'
    reason: str = ''

    def note(self, server: str, result: str) -> None:
        """Add the result of one attempt.

        The next attempt may have been sent before it.
        """
        text = f'{server}: {result}'
        sent = _sent(server)
        if sent in self.attempts:
            self.attempts[self.attempts.index(sent)] = text
        else:
            self.attempts.append(text)

    def note_sent(self, server: str, waited_s: float) -> None:
        """Add an attempt, sent `waited_s` after the request arrived."""
        if self.first_send_s is None:
            self.first_send_s = waited_s
        self.sends += 1
        self.may_have_run = True
        self.attempts.append(_sent(server))

    def note_relayed(self, peer: str, waited_s: float) -> None:
        """Add a send to another daemon, which sends it to a server."""
        self.first_send_s = waited_s
        self.may_have_run = True
        self.attempts.append(_sent(peer))

    def note_event(self, now: float, received_at: float) -> None:
        """Record that events were passed on to the caller."""
        if self.last_event_at is None:
            self.first_answer_s = now - received_at
        else:
            pause = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause)
        self.last_event_at = now


def _sent(server: str) -> str:
    return f'{server}: sent'


def parse_work(bounds: str, parts: str) -> Work:
    """Read the token bounds and prompt parts; raise InvalidRequestError."""
    try:
        prompt, output = (int(number) for number in bounds.split(','))
    except ValueError:
        raise InvalidRequestError('the token bounds are malformed') from None
    if prompt < 0 or output < 0:
        raise InvalidRequestError('the token bounds are negative')
    named = _parse_parts(parts)
    # The last part is unique to this request.
    return Work(
        prompt_tokens=prompt,
        output_tokens=output,
        shared_parts=named[:-1],
    )


def _parse_parts(text: str) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    parts = []
    for entry in text.split(',')[:MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(':')
        if not tokens.isdigit():
            raise InvalidRequestError('the prompt parts are malformed')
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
