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
INITIAL_SLOT_S = 1.0
# Bounds of learned values.
MIN_TOKEN_S, MAX_TOKEN_S = 1e-7, 2e-3
MIN_START_S, MAX_START_S = 1e-4, 1.0
MIN_CALL_S, MAX_CALL_S = 1e-4, 5.0
MIN_SLOT_S, MAX_SLOT_S = 1e-3, 60.0
# The start values count as this many samples, at 0 and at these tokens; later,
# as the least number, so that requests of one size leave a slope. With a start
# weight of 1 slopes of the first seconds were 0 to 1.8 times the true one.
INITIAL_WEIGHT = 8.0
LEAST_WEIGHT = 1.0
INITIAL_TOKENS = 6_000
# Weight that older samples keep with each new one: some 100 samples count.
KEPT_WEIGHT = 0.99
# A single sample counts as at most this multiple of the expected time, so that
# answers of preempted requests don't pass for slow reading.
MAX_OUTLIER = 3.0
# Samples of a server lose half of their weight in this time, so that its
# slowness follows a change within two seconds.
SLOWNESS_HALF_LIFE_S = 0.7
# One sample says at most that a server is this much slower.
MAX_SLOWNESS = 8.0
# Samples that say as much as knowing nothing. With one, chance made engines
# look slow (1.19 times the mean load on the busiest of 90 instead of 1.13).
# With six, 0.008 of the chats were late beside a crowded zone, now 0.002.
SLOWNESS_PRIOR = 12.0


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
        for name, added in (
            ('weight', 1.0),
            ('tokens', tokens),
            ('squares', tokens * tokens),
            ('seconds', taken),
            ('products', tokens * taken),
        ):
            least = _LEAST[name]
            kept = least + KEPT_WEIGHT * (getattr(self, name) - least)
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
    slot_s: float = INITIAL_SLOT_S


@dataclass(slots=True)
class _Samples:
    slowness_sum: float
    count: float
    noted_at: float


class ServerSpeeds:
    """Learn the speeds of services and the slowness of their servers."""

    def __init__(self) -> None:
        """Start with neutral values."""
        self._services: defaultdict[str, _Service] = defaultdict(_Service)
        self._samples: dict[str, _Samples] = {}

    def token_s(self, service: str) -> float:
        """Return the seconds that reading one token takes."""
        return self._services[service].line.token_s

    def start_s(self, service: str) -> float:
        """Return the seconds to the first event without reading."""
        return self._services[service].line.start_s

    def call_s(self, service: str) -> float:
        """Return the seconds of a call without a prompt."""
        return self._services[service].call_s

    def slot_s(self, service: str) -> float:
        """Return the seconds for which a prompt and its answer take a slot."""
        return self._services[service].slot_s

    def note_slot(self, service: str, seconds: float) -> None:
        """Note for how long a prompt and its answer took a slot."""
        if not seconds > 0:
            return
        known = self._services[service]
        taken = min(seconds, MAX_SLOT_S)
        slot_s = KEPT_WEIGHT * known.slot_s + (1 - KEPT_WEIGHT) * taken
        known.slot_s = max(MIN_SLOT_S, slot_s)

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
        self._note_sample(server, seconds / expected, now)
        line.add(max(0, tokens), seconds)

    def note_call(
        self, service: str, server: str, *, seconds: float, now: float
    ) -> None:
        """Note the time of a call without a prompt."""
        if not seconds > 0:
            return
        known = self._services[service]
        self._note_sample(server, seconds / known.call_s, now)
        taken = min(seconds, MAX_OUTLIER * known.call_s)
        call_s = KEPT_WEIGHT * known.call_s + (1 - KEPT_WEIGHT) * taken
        known.call_s = min(MAX_CALL_S, max(MIN_CALL_S, call_s))

    def samples(self, server: str, now: float) -> tuple[float, float]:
        """Return the sum and number of factors that recent requests showed.

        Older ones count less. A factor is measured over expected time.
        """
        known = self._samples.get(server)
        if known is None:
            return 0, 0
        fade = 0.5 ** (max(0, now - known.noted_at) / SLOWNESS_HALF_LIFE_S)
        return known.slowness_sum * fade, known.count * fade

    def slowness(
        self,
        server: str,
        now: float,
        slowness_sum: float = 0,
        count: float = 0,
    ) -> float:
        """Return the factor by which the server is slower than its service.

        It is 1 for faster ones, which get more work as theirs ends sooner.
        Other daemons found `count` factors with this sum.
        """
        if server in self._samples:
            own = self.samples(server, now)
            slowness_sum += own[0]
            count += own[1]
        factor = (slowness_sum + SLOWNESS_PRIOR) / (count + SLOWNESS_PRIOR)
        if factor < 1:
            return 1
        return factor if factor < MAX_SLOWNESS else MAX_SLOWNESS

    def forget(self, server: str) -> None:
        """Forget a server that is gone or has started again."""
        self._samples.pop(server, None)

    def _note_sample(self, server: str, factor: float, now: float) -> None:
        slowness_sum, count = self.samples(server, now)
        self._samples[server] = _Samples(
            slowness_sum + min(factor, MAX_SLOWNESS), count + 1, now
        )


_LEAST = {
    name: getattr(_Line(), name) * LEAST_WEIGHT / INITIAL_WEIGHT
    for name in ('weight', 'tokens', 'squares', 'seconds', 'products')
}
