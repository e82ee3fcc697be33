"""Prediction of output tokens from past answers."""

from collections import OrderedDict

SMOOTHING = 0.1
MAX_KEYS = 10_000
# Prediction before the first answer of a model.
DEFAULT_TOKENS = 256

# The empty team holds the averages of a model over all teams.
_ALL_TEAMS = ''


class LengthPredictor:
    """Average the output tokens per team and model, in bounded memory.

    Callers of short jobs often send a small `max_tokens`, so each power of two
    of it has an average of its own.
    """

    def __init__(self) -> None:
        """Create a predictor without past answers."""
        self._averages: OrderedDict[tuple[str, str, int], float] = OrderedDict()

    def predict(self, team: str, model: str, max_tokens: int) -> int:
        """Return the expected output tokens, at most `max_tokens`."""
        for bound in (max_tokens, 0):
            for name in (team, _ALL_TEAMS):
                key = (name, model, bound.bit_length())
                if key in self._averages:
                    return max(1, min(max_tokens, round(self._averages[key])))
        return max(1, min(max_tokens, DEFAULT_TOKENS))

    def observe(
        self, team: str, model: str, tokens: int, max_tokens: int = 0
    ) -> None:
        """Add a complete answer; a `max_tokens` of 0 means unknown."""
        for name in (team, _ALL_TEAMS):
            self._learn((name, model, 0), tokens)
            if max_tokens:
                self._learn((name, model, max_tokens.bit_length()), tokens)
        while len(self._averages) > MAX_KEYS:
            self._averages.popitem(last=False)

    def _learn(self, key: tuple[str, str, int], tokens: int) -> None:
        average = self._averages.get(key, tokens)
        self._averages[key] = average + SMOOTHING * (tokens - average)
        self._averages.move_to_end(key)
