"""TLS contexts of the daemon's ports."""

import ssl

from oriolegauge.config.daemonsettings import PeerTlsSettings, TlsSettings
from oriolegauge.config.errors import SettingsInvalidError


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the context of the caller or admin port.

    Raise SettingsInvalidError if the files cannot be used.
    """
    return _loaded(ssl.PROTOCOL_TLS_SERVER, tls)


def peer_server_context(tls: PeerTlsSettings) -> ssl.SSLContext:
    """Return the context of the peer port, which requires a certificate.

    Raise SettingsInvalidError if the files cannot be used.
    """
    context = _loaded(ssl.PROTOCOL_TLS_SERVER, tls)
    _trust(context, tls)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(tls: PeerTlsSettings) -> ssl.SSLContext:
    """Return the context of links to peers, which checks the daemon's name.

    Raise SettingsInvalidError if the files cannot be used.
    """
    context = _loaded(ssl.PROTOCOL_TLS_CLIENT, tls)
    _trust(context, tls)
    return context


def _loaded(
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


def _trust(context: ssl.SSLContext, tls: PeerTlsSettings) -> None:
    try:
        context.load_verify_locations(tls.ca_path)
    except (OSError, ValueError) as error:
        raise SettingsInvalidError(f'{tls.ca_path}: {error}') from error
