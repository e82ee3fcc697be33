"""State of the configuration follower, for the admin port and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerState:
    """Report what is in force, how old it can be and what was refused.

    `store_behind` maps keys to the lower version that the store holds after a
    restored backup; `rejected` maps keys to the version that was invalid.
    """

    ready: bool
    config_current: bool
    watching: bool
    store_age_s: float | None
    versions: Mapping[str, int]
    store_behind: Mapping[str, int]
    rejected: Mapping[str, int]
    refused_lower: int
    refused_invalid: int
    fetched: int
    store_failures: int
