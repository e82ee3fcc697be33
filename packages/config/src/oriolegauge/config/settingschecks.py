"""Checks for unsafe combinations of valid settings."""

from collections.abc import Iterator
from dataclasses import dataclass

from oriolegauge.config.daemonsettings import DaemonSettings, PeerSettings
from oriolegauge.config.fields import is_loopback, split_address
from oriolegauge.config.location import MemberPath


@dataclass(frozen=True, slots=True)
class Problem:
    """Describe an invalid place in the settings."""

    path: MemberPath
    message: str


def unsafe_combinations(settings: DaemonSettings) -> Iterator[Problem]:
    """Yield each unsafe combination of otherwise valid settings."""
    yield from _ports(settings)
    yield from _unencrypted_ports(settings)
    yield from _peers(settings)
    if settings.flush_period_s > settings.max_request_s:
        yield Problem(
            ('flush_period_s',), 'must not be longer than max_request_s'
        )
    if settings.max_peer_message_bytes < settings.max_body_bytes:
        yield Problem(
            ('max_peer_message_bytes',),
            'must not be smaller than max_body_bytes, or large requests '
            'cannot be forwarded',
        )


def _ports(settings: DaemonSettings) -> Iterator[Problem]:
    seen: dict[int, str] = {}
    for name in ('caller_port', 'admin_port', 'peer_port'):
        port = getattr(settings, name)
        if port in seen:
            yield Problem((name,), f'must differ from {seen[port]}')
        seen.setdefault(port, name)


def _unencrypted_ports(settings: DaemonSettings) -> Iterator[Problem]:
    remote = not is_loopback(settings.address)
    if remote and settings.admin_tls is None:
        yield Problem(
            ('address',),
            'a non-loopback address needs admin_tls, because operator tokens '
            'pass through the admin port',
        )
    if remote and not (
        settings.caller_tls or settings.caller_tls_ended_by_balancer
    ):
        yield Problem(
            ('address',),
            'a non-loopback address needs caller_tls or '
            'caller_tls_ended_by_balancer',
        )
    if settings.peer_tls is None and _has_remote_peer(settings):
        yield Problem(
            ('peers',),
            'daemons on non-loopback addresses need peer_tls',
        )


def _has_remote_peer(settings: DaemonSettings) -> bool:
    hosts = [split_address(peer.address)[0] for peer in settings.peers]
    return not all(map(is_loopback, [settings.address, *hosts]))


def _peers(settings: DaemonSettings) -> Iterator[Problem]:
    names = {settings.name}
    addresses = {(settings.address, settings.peer_port)}
    for number, peer in enumerate(settings.peers):
        yield from _peer(peer, number, names, addresses)
        names.add(peer.name)
        addresses.add(split_address(peer.address))


def _peer(
    peer: PeerSettings,
    number: int,
    names: set[str],
    addresses: set[tuple[str, int]],
) -> Iterator[Problem]:
    if peer.name in names:
        yield Problem(
            ('peers', number, 'name'), f'{peer.name} is already in use'
        )
    if split_address(peer.address) in addresses:
        yield Problem(
            ('peers', number, 'address'), f'{peer.address} is already in use'
        )
