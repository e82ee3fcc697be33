"""Identity of a process that holds grants."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantProcess:
    """Identify a process that holds grants.

    `holder` is a name that no other process start ever uses; the next process
    of the `host` has the same host and clocks. `is_first_start` states that no
    daemon of the fleet has run before.
    """

    host: str
    holder: str
    is_first_start: bool
