"""Speeds of backend servers, learned from the times to first answers.

The time to the first event of a prompt is fitted by a line over the tokens that
were to be read: its slope is the reading time of a token, its start the time of
a request without reading. Both belong to the service. A server's slowness is
the factor by which its answers take longer than those of its service.
"""

from collections import defaultdict
from dataclasses import dataclass, field

# Start values, in force before there are samples: between the speeds of engines
# on one accelerator, which read 20,000 to 100,000 tokens a second.
INITIAL_TOKEN_S = 1 / 50_000
INITIAL_START_S = 0.03
INITIAL_CALL_S = 0.03
# Bounds of learned values.
MIN_TOKEN_S, MAX_TOKEN_S = 1e-7, 2e-3
MIN_START_S, MAX_START_S = 1e-4, 1.0
MIN_CALL_S, MAX_CALL_S = 1e-4, 5.0
# The start values count as this many samples, at 0 and at these tokens.
INITIAL_WEIGHT = 1.0
INITIAL_TOKENS = 4_000
# Weight that older samples keep with each new one: some 60 samples count.
KEPT_WEIGHT = 0.984
# A single sample counts as at most this multiple of the expected time, so that
# answers of preempted requests don't pass for slow reading.
MAX_OUTLIER = 3.0
SLOWNESS_WEIGHT = 0.3
# A server's slowness fades towards that of its service in this time.
SLOWNESS_HALF_LIFE_S = 1.5
MIN_SLOWNESS, MAX_SLOWNESS = 0.25, 20.0


@dataclass(slots=True)
class _Line:
    """Sums of weighted samples, and the line that fits them best."""

    weight: float = 2 * INITIAL_WEIGHT
    tokens: float = INITIAL_WEIGHT * INITIAL_TOKENS
    squares: float = INITIAL_WEIGHT * INITIAL_TOKENS**2
    seconds: float = INITIAL_WEIGHT * (
        2 * INITIAL_START_S + INITIAL_TOKENS * INITIAL_TOKEN_S
    )
    products: float = (
        INITIAL_WEIGHT
        * INITIAL_TOKENS
        * (INITIAL_START_S + INITIAL_TOKENS * INITIAL_TOKEN_S)
    )
    token_s: float = INITIAL_TOKEN_S
    start_s: float = INITIAL_START_S

    def add(self, tokens: float, seconds: float) -> None:
        """Add a sample; fit the line to all of them."""
        expected = self.start_s + tokens * self.token_s
        taken = min(seconds, MAX_OUTLIER * expected)
        initial = _INITIAL
        for name, added in (
            ('weight', 1.0),
            ('tokens', tokens),
            ('squares', tokens * tokens),
            ('seconds', taken),
            ('products', tokens * taken),
        ):
            start = initial[name]
            kept = start + KEPT_WEIGHT * (getattr(self, name) - start)
            setattr(self, name, kept + added)
        spread = self.squares - self.tokens**2 / self.weight
        slope = (
            self.products - self.tokens * self.seconds / self.weight
        ) / spread
        self.token_s = min(MAX_TOKEN_S, max(MIN_TOKEN_S, slope))
        start_s = (self.seconds - self.token_s * self.tokens) / self.weight
        self.start_s = min(MAX_START_S, max(MIN_START_S, start_s))


@dataclass(slots=True)
class _Service:
    line: _Line = field(default_factory=_Line)
    call_s: float = INITIAL_CALL_S


@dataclass(slots=True)
class _Slowness:
    factor: float
    noted_at: float


class ServerSpeeds:
    """Learn the speeds of services and the slowness of their servers."""

    def __init__(self) -> None:
        """Start with neutral values."""
        self._services: defaultdict[str, _Service] = defaultdict(_Service)
        self._slowness: dict[str, _Slowness] = {}

    def token_s(self, service: str) -> float:
        """Return the seconds that reading one token takes."""
        return self._services[service].line.token_s

    def start_s(self, service: str) -> float:
        """Return the seconds to the first event without reading."""
        return self._services[service].line.start_s

    def call_s(self, service: str) -> float:
        """Return the seconds of a call without a prompt."""
        return self._services[service].call_s

    def note_prompt(
        self,
        service: str,
        server: str,
        *,
        tokens: int,
        seconds: float,
        now: float,
    ) -> None:
        """Note the time to the first event, after reading the tokens.

        `tokens` includes those of other prompts that waited at the server.
        """
        if not seconds > 0:
            return
        line = self._services[service].line
        expected = line.start_s + tokens * line.token_s
        self._note_slowness(server, seconds / expected, now)
        line.add(max(0, tokens), seconds)

    def note_call(
        self, service: str, server: str, *, seconds: float, now: float
    ) -> None:
        """Note the time of a call without a prompt."""
        if not seconds > 0:
            return
        known = self._services[service]
        self._note_slowness(server, seconds / known.call_s, now)
        taken = min(seconds, MAX_OUTLIER * known.call_s)
        call_s = KEPT_WEIGHT * known.call_s + (1 - KEPT_WEIGHT) * taken
        known.call_s = min(MAX_CALL_S, max(MIN_CALL_S, call_s))

    def slowness(self, server: str, now: float) -> float:
        """Return the factor by which the server is slower than its peers."""
        known = self._slowness.get(server)
        if known is None:
            return 1.0
        age = max(0, now - known.noted_at)
        return 1.0 + (known.factor - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)

    def forget(self, server: str) -> None:
        """Forget a server that is gone or has started again."""
        self._slowness.pop(server, None)

    def _note_slowness(self, server: str, ratio: float, now: float) -> None:
        known = self.slowness(server, now)
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        self._slowness[server] = _Slowness(
            known + SLOWNESS_WEIGHT * (bounded - known), now
        )


_INITIAL = {
    name: getattr(_Line(), name)
    for name in ('weight', 'tokens', 'squares', 'seconds', 'products')
}
