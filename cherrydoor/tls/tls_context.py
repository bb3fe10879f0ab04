"""Creates TLS contexts from credentials in memory."""

import os
import ssl
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from cryptography import x509
from cryptography.hazmat.primitives import serialization


def make_context(
    server: bool,
    chain: bytes,
    private_key: bytes,
    trusted: Iterable[x509.Certificate] = (),
    client_certificates: ssl.VerifyMode = ssl.CERT_NONE,
) -> ssl.SSLContext:
    """Creates a context for TLS 1.3.

    A server does not resume sessions, because a resumed session could outlive the credentials that
    it was established with. The cost is a full handshake for each connection.

    Args:
        server: Whether the context accepts connections rather than opening them.
        chain: Certificate chain in PEM; empty for none.
        private_key: Private key of the chain in PEM.
        trusted: Certificates of the authorities that verify peers.
        client_certificates: Whether a server asks its clients for certificates. Without trusted
            authorities it does not ask.

    Raises:
        ssl.SSLError: The chain and the private key do not match.
    """
    authorities = list(trusted)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    if chain:
        with _memory_file(chain) as chain_path, _memory_file(private_key) as key_path:
            context.load_cert_chain(chain_path, key_path)
    if authorities:
        pem = [
            authority.public_bytes(serialization.Encoding.PEM).decode() for authority in authorities
        ]
        context.load_verify_locations(cadata="".join(pem))
    if server:
        context.verify_mode = client_certificates if authorities else ssl.CERT_NONE
        context.num_tickets = 0
    return context


@contextmanager
def _memory_file(data: bytes) -> Iterator[str]:
    """Provides a path to bytes in memory, so that exactly the checked bytes are loaded."""
    descriptor = os.memfd_create("keys")
    try:
        os.write(descriptor, data)
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
