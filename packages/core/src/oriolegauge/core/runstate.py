"""Whether a backend server ran the work of a refused or failed request."""

from enum import StrEnum


class RunState(StrEnum):
    """State whether work ran on a backend server."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'
