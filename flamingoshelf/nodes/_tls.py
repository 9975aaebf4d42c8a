"""TLS configuration for connections between nodes."""

import asyncio
import hashlib
import ssl
from pathlib import Path

import attrs

from flamingoshelf.exceptions import ConfigurationError

__all__ = ["NodeTls", "load_node_tls", "peer_certificate_digest"]


@attrs.frozen(kw_only=True)
class NodeTls:
    """TLS contexts for both directions and the digest of this node's certificate.

    Parameters
    ----------
    server, client : ssl.SSLContext
        Contexts for accepted and for opened connections. Both require the other side to present a
        certificate that the fleet's authority issued.
    certificate_digest : bytes
        SHA-256 of this node's certificate.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext
    certificate_digest: bytes


def load_node_tls(*, certificate_file: Path, key_file: Path, authority_file: Path) -> NodeTls:
    """Load the certificate, its key and the authority's certificate from PEM files.

    The host name isn't verified because nodes dial IP addresses from the VM list; the handshake
    in `flamingoshelf.nodes._handshake` verifies which node answers.

    Raises
    ------
    ConfigurationError
        A file can't be read, or the key does not match the certificate.
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
    """Return the SHA-256 digest of the other side's certificate, empty without TLS."""
    ssl_object = transport.get_extra_info("ssl_object")
    der = None if ssl_object is None else ssl_object.getpeercert(binary_form=True)
    return b"" if der is None else hashlib.sha256(der).digest()


def _first_certificate(text: str) -> str:
    footer = "-----END CERTIFICATE-----"
    return text[text.index("-----BEGIN") : text.index(footer) + len(footer)] + "\n"
