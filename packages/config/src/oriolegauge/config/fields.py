"""Validated field types of settings and configuration."""

import ipaddress
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, ConfigDict, Field

STRICT = ConfigDict(extra='forbid', strict=True)

NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$'
BUDGET_PATTERN = '^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$'
MODEL_PATTERN = r'^(\*|[A-Za-z0-9][A-Za-z0-9_./:-]{0,127})$'
HASH_PATTERN = '^[0-9a-f]{64}$'
MAX_PORT = 65_535


def check_ip(text: str) -> str:
    """Return the text if it is the IP address of one host."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ValueError('must be an IP address, not a host name') from None
    if address.is_unspecified or address.is_multicast:
        raise ValueError('must be the address of one host')
    return text


def check_peer_address(text: str) -> str:
    """Return the text if it is IP:PORT, with IPv6 addresses in brackets."""
    host, port = split_address(text)
    check_ip(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError('must end with a port from 1 to 65535')
    return text


def split_address(text: str) -> tuple[str, int]:
    """Return IP address and port of IP:PORT; raise ValueError otherwise."""
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal():
        raise ValueError('must be IP:PORT')
    return host.removeprefix('[').removesuffix(']'), int(port)


def check_url(text: str) -> str:
    """Return the text if it is an HTTP URL by IP without credentials."""
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'}:
        raise ValueError('must be an http or https URL')
    if parts.username is not None or parts.password is not None:
        raise ValueError('must not contain a user name or password')
    if parts.query or parts.fragment:
        raise ValueError('must not have a query or fragment')
    check_ip(parts.hostname or '')
    if parts.port == 0:
        raise ValueError('must not have port 0')
    return text


def is_loopback(address: str) -> bool:
    """Tell whether an IP address is on the loopback interface."""
    return ipaddress.ip_address(address).is_loopback


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
BudgetName = Annotated[str, Field(pattern=BUDGET_PATTERN)]
ModelName = Annotated[str, Field(pattern=MODEL_PATTERN)]
NameOrAll = Annotated[str, Field(pattern=rf'^\*$|{NAME_PATTERN}')]
KeyHash = Annotated[str, Field(pattern=HASH_PATTERN)]
IpAddress = Annotated[str, AfterValidator(check_ip)]
PeerAddress = Annotated[str, AfterValidator(check_peer_address)]
HttpUrl = Annotated[str, AfterValidator(check_url)]
Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
