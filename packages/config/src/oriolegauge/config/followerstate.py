"""State of the configuration follower, for the admin port and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerState:
    """Report the versions in force, their age and the refused objects.

    `store_behind` maps keys to the lower version that the store holds, as after
    the restore of a backup; `rejected` maps keys to the invalid version.
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
