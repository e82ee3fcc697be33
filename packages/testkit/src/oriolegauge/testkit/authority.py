"""Certificate authority for tests of mutual TLS."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


class Authority:
    """Issue certificates for members, valid for a day, as PEM files."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.file = self.save(
            f'{name}.pem', self.build(self.name, self.key, is_authority=True)
        )

    def build(self, subject, key, *, is_authority=False, member='ca'):
        now = datetime.datetime.now(datetime.UTC)
        names = [
            x509.DNSName(member),
            x509.IPAddress(ipaddress.ip_address('127.0.0.1')),
        ]
        identifier = x509.SubjectKeyIdentifier.from_public_key
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(identifier(key.public_key()), False)
            .sign(self.key, hashes.SHA256())
        )

    def save(self, name: str, certificate, key=None) -> Path:
        path = self.folder / name
        pem = certificate.public_bytes(serialization.Encoding.PEM)
        if key:
            pem += key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        path.write_bytes(pem)
        return path

    def member(self, member: str) -> Path:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, member)])
        certificate = self.build(subject, key, member=member)
        return self.save(f'{self.folder.name}-{member}.pem', certificate, key)
