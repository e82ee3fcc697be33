"""Ways in which a server does not accept a connection."""

from enum import Enum


class ConnectFailure(Enum):
    """Tell a dead server from a loaded one.

    REFUSED: nothing listens there, so its process has ended. RESET: it has
    closed a new connection, as a loaded server does. SILENT: it has not
    answered in time.
    """

    REFUSED = 'refused'
    RESET = 'reset'
    SILENT = 'silent'
