"""One object of the platform's store."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold a key, its value and the version of its last change."""

    key: str
    version: int
    value: Mapping[str, Any]
