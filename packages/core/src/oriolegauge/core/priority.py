"""Priority classes of requests."""

from enum import IntEnum


class Priority(IntEnum):
    """Order the requests in a queue; lower numbers are served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2

    @classmethod
    def parse(cls, text: str) -> 'Priority':
        """Return the class of that name; raise ValueError otherwise."""
        try:
            return cls[text.upper()]
        except KeyError:
            raise ValueError(f'unknown priority {text!r}') from None
