"""Caller keys and operator tokens: secrets of which only hashes are stored."""

import hashlib
import secrets

KEY_PREFIX = 'ogk_'
TOKEN_PREFIX = 'ogt_'
SECRET_BYTES = 24


def new_key(team: str) -> str:
    """Return a new caller key of the team."""
    return f'{KEY_PREFIX}{team}.{secrets.token_urlsafe(SECRET_BYTES)}'


def new_token(operator: str) -> str:
    """Return a new token of the operator."""
    return f'{TOKEN_PREFIX}{operator}.{secrets.token_urlsafe(SECRET_BYTES)}'


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key or token in hexadecimal.

    A plain hash suffices because the secret has 192 random bits.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def team_of(key: str) -> str:
    """Return the team named in a key, or an empty string."""
    if not key.startswith(KEY_PREFIX):
        return ''
    return key.removeprefix(KEY_PREFIX).partition('.')[0]
