"""Makes TLS contexts from credentials in memory."""

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
    """A context for TLS 1.3.

    A server's sessions are not resumed. That guards against a session that outlives the
    credentials it was made on; it harms by a full handshake for each connection.

    Args:
        server: Whether it accepts connections, rather than opening them.
        chain: Certificates in PEM; empty for none.
        private_key: Their private key in PEM.
        trusted: Certificates of the authorities that peers are verified by.
        client_certificates: What a server asks of its clients; CERT_NONE where nothing is trusted.

    Raises:
        ssl.SSLError: The chain and the private key do not belong together.
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
    """A path to these bytes in memory, so that what is loaded is what was checked."""
    descriptor = os.memfd_create("keys")
    try:
        os.write(descriptor, data)
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
