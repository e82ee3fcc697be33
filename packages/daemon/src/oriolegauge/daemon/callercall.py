"""HTTP request of a caller, received directly or forwarded by a peer."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
import xxhash

from oriolegauge.core.errors import InvalidRequestError


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerCall:
    """Hold method, path with query, headers and body."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def fingerprint(self) -> str:
        """Return a hash of method, path and body.

        It shows when an idempotency key is reused for a different request.
        """
        digest = xxhash.xxh3_128(f'{self.method} {self.path}\n'.encode())
        digest.update(self.body)
        return digest.hexdigest()

    def json_body(self) -> dict[str, Any]:
        """Return the body as a JSON object; raise InvalidRequestError."""
        try:
            body = orjson.loads(self.body)
        except ValueError as error:
            raise InvalidRequestError('the body is not JSON') from error
        if not isinstance(body, dict):
            raise InvalidRequestError('the body must be a JSON object')
        return body
