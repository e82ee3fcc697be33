"""Time limit of an attempt whose server is silent."""

import math

# The wait after a retry was refused. Sound servers are silent for about a
# second and go on; a retry that is taken sooner discards their answer.
ASK_AGAIN_S = 1.2


class SilenceLimit:
    """Tell when to ask for a retry; times are of the loop, in seconds."""

    def __init__(self, deadline: float, objective_s: float) -> None:
        """Ask for no retry that has less than `objective_s` left."""
        self._deadline = deadline
        self._last_ask_at = deadline - objective_s
        self._limit_at = -math.inf
        self._ask_again_at = -math.inf
        self._was_interrupted = False

    @property
    def may_interrupt(self) -> bool:
        """State whether bytes of the silent server may end the next send.

        They may once until it makes progress, else a server that sends a byte
        now and then would keep its request.
        """
        return not self._was_interrupted

    def ask_at(self, limit_at: float) -> float:
        """Return when to ask, or the deadline if there is no time to retry.

        Progress of the server moves `limit_at`.
        """
        if limit_at != self._limit_at:
            self._limit_at = limit_at
            self._ask_again_at = -math.inf
            self._was_interrupted = False
        ask_at = max(limit_at, self._ask_again_at)
        return ask_at if ask_at <= self._last_ask_at else self._deadline

    def note_refused(self, now: float) -> None:
        """Record that no retry could be had or sent."""
        self._ask_again_at = now + ASK_AGAIN_S

    def note_interrupted(self) -> None:
        """Record that bytes of the silent server ended a send."""
        self._was_interrupted = True

    def is_failed(self, now: float) -> bool:
        """State whether the server was silent until the deadline."""
        return self._limit_at < self._deadline <= now
