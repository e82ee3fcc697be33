"""TLS contexts of the daemon's ports."""

import ssl

from oriolegauge.config.daemonsettings import PeerTlsSettings, TlsSettings
from oriolegauge.config.errors import SettingsInvalidError


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the context of the caller or admin port.

    Raise SettingsInvalidError if the files cannot be used.
    """
    return _loaded_context(ssl.PROTOCOL_TLS_SERVER, tls)


def peer_server_context(tls: PeerTlsSettings) -> ssl.SSLContext:
    """Return the context of the peer port; clients need a certificate.

    Raise SettingsInvalidError if the files cannot be used.
    """
    context = _loaded_context(ssl.PROTOCOL_TLS_SERVER, tls)
    _load_authorities(context, tls)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(tls: PeerTlsSettings) -> ssl.SSLContext:
    """Return the context of peer links, which checks the server's name.

    Raise SettingsInvalidError if the files cannot be used.
    """
    context = _loaded_context(ssl.PROTOCOL_TLS_CLIENT, tls)
    _load_authorities(context, tls)
    return context


def _loaded_context(
    protocol: int, tls: TlsSettings | PeerTlsSettings
) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(tls.certificate_path, tls.key_path)
    except (OSError, ValueError) as error:
        raise SettingsInvalidError(
            f'{tls.certificate_path}, {tls.key_path}: {error}'
        ) from error
    return context


def _load_authorities(context: ssl.SSLContext, tls: PeerTlsSettings) -> None:
    try:
        context.load_verify_locations(tls.ca_path)
    except (OSError, ValueError) as error:
        raise SettingsInvalidError(f'{tls.ca_path}: {error}') from error
