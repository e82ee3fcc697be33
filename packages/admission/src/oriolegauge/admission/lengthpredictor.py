"""Predict output tokens from past answers."""

from collections import OrderedDict

SMOOTHING = 0.1
MAX_KEYS = 10_000
# Used until the first answer of a model is known.
DEFAULT_TOKENS = 256


class LengthPredictor:
    """Average the output of each team and model, in bounded memory."""

    def __init__(self) -> None:
        """Start without past answers."""
        self._averages: OrderedDict[tuple[str, str], float] = OrderedDict()

    def predict(self, team: str, model: str, max_tokens: int) -> int:
        """Return the expected output tokens, at most `max_tokens`."""
        average = self._averages.get((team, model))
        if average is None:
            average = self._averages.get(('', model), DEFAULT_TOKENS)
        return max(1, min(max_tokens, round(average)))

    def observe(self, team: str, model: str, tokens: int) -> None:
        """Learn the output tokens of a complete answer."""
        # The empty team holds the average of the model over all teams.
        for key in ((team, model), ('', model)):
            average = self._averages.get(key, tokens)
            self._averages[key] = average + SMOOTHING * (tokens - average)
            self._averages.move_to_end(key)
        while len(self._averages) > MAX_KEYS:
            self._averages.popitem(last=False)
