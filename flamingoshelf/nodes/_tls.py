"""TLS between nodes."""

import asyncio
import hashlib
import ssl
from pathlib import Path

import attrs

from flamingoshelf.exceptions import ConfigurationError

__all__ = ["NodeTls", "load_node_tls", "peer_certificate_digest"]


@attrs.frozen(kw_only=True)
class NodeTls:
    """Both sides' contexts and the digest that names this node's certificate.

    Parameters
    ----------
    server, client : ssl.SSLContext
        Contexts for accepted and for opened connections. Both require a certificate of the
        fleet's authority from the other side.
    certificate_digest : bytes
        SHA-256 of this node's certificate.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext
    certificate_digest: bytes


def load_node_tls(*, certificate_file: Path, key_file: Path, authority_file: Path) -> NodeTls:
    """Read certificate, key and authority from PEM files.

    The host name isn't checked, as nodes dial IP addresses of the VM list; which node answers is
    proved by the handshake, see `flamingoshelf.nodes._handshake`.

    Raises
    ------
    ConfigurationError
        A file can't be read or the key does not belong to the certificate.
    """
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    try:
        for context in (server, client):
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.load_cert_chain(certificate_file, key_file)
            context.load_verify_locations(authority_file)
            context.verify_mode = ssl.CERT_REQUIRED
        der = ssl.PEM_cert_to_DER_cert(_first_certificate(certificate_file.read_text()))
    except (OSError, ValueError) as error:
        message = f"TLS files can't be used: {error}"
        raise ConfigurationError(message, step="tls", peer=str(certificate_file)) from error
    return NodeTls(server=server, client=client, certificate_digest=hashlib.sha256(der).digest())


def peer_certificate_digest(transport: asyncio.BaseTransport) -> bytes:
    """Return the SHA-256 of the other side's certificate, nothing without TLS."""
    ssl_object = transport.get_extra_info("ssl_object")
    der = None if ssl_object is None else ssl_object.getpeercert(binary_form=True)
    return b"" if der is None else hashlib.sha256(der).digest()


def _first_certificate(text: str) -> str:
    footer = "-----END CERTIFICATE-----"
    return text[text.index("-----BEGIN") : text.index(footer) + len(footer)] + "\n"
