"""A credential store with a clock that the test advances, and helpers for gateways with TLS."""

import asyncio

from stack import Client, now

from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls.credential_files import read_authorities, read_pair
from cherrydoor.tls.credential_store import CredentialStore
from cherrydoor.tls.credentials import Authority, Pair
from cherrydoor.tls.expiry import DAY_MS, ExpiryPolicy
from cherrydoor.tls.local_authority import LocalAuthority
from cherrydoor.tls.messages import Offered, Tick
from cherrydoor.tls.tls_context import make_context

START_MS = 20000 * DAY_MS  # 2024-10-04 00:00 UTC


class StoreDriver:
    """Passes messages to a credential store, with a clock that the test advances."""

    def __init__(self, **policy):
        self.store = CredentialStore(ExpiryPolicy(**policy))
        self.now_ms = START_MS
        self.offers = 0

    def handle(self, message):
        return self.store.handle(self.now_ms, message)

    def offer(self, part, content=None, read_error=""):
        """Offers content with a hash that differs from those of all earlier offers."""
        self.offers += 1
        return self.handle(Offered(part, f"hash-{self.offers}", content, read_error))

    def wait(self, ms):
        self.now_ms += ms
        return self.handle(Tick())


def pair(name="g", not_before_ms=-DAY_MS, not_after_ms=90 * DAY_MS, key_matches=True):
    """Returns a pair with a validity relative to `START_MS`."""
    return Pair("1a", name, START_MS + not_before_ms, START_MS + not_after_ms, key_matches)


def authority(name, not_after_ms=900 * DAY_MS):
    return Authority(name, name, START_MS - DAY_MS, START_MS + not_after_ms)


def config_part(folder, more=""):
    """Returns the part of a configuration that names the files in the folder."""
    return (
        f'bounds: {{}}\nkeys: {{certificate: "{folder}/g0.pem", key: "{folder}/g0.key", '
        f'authorities: "{folder}/authorities.pem", revoked: "{folder}/revoked.pem", '
        f'tokens: "{folder}/tokens.jwks", look: 50ms, {more}}}\n'
    )


def make_local_authority(folder):
    """Creates a local authority with credentials of gateway g0 and clients harbour and meadow."""
    local_authority = LocalAuthority(folder)
    local_authority.create_authority()
    local_authority.issue("gateway", "g0", addresses=["127.0.0.1"])
    local_authority.issue("client", "harbour")
    local_authority.issue("client", "meadow")
    local_authority.token_key("k1", ["harbour"])
    return local_authority


def client_context(folder, name=""):
    trusted = read_authorities(folder / "authorities.pem").certificates
    if not name:
        return make_context(False, b"", b"", trusted)
    loaded = read_pair(folder / f"{name}.pem", folder / f"{name}.key")
    return make_context(False, loaded.chain, loaded.private_key, trusted)


async def connect_tls(stack, folder, name="", token="", port=None):
    """Connects a client over TLS with the certificate `name`; the gateway may reject it."""
    client = Client()
    await asyncio.get_running_loop().create_connection(
        lambda: FramedConnection(
            client,
            protocol.TO_CLIENT,
            lambda: protocol.Hello(protocol.VERSION, "client", name, now(), token=token),
        ),
        "127.0.0.1",
        port or stack.service.port,
        ssl=client_context(folder, name),
        server_hostname="127.0.0.1",
    )
    stack.opened.append(client)
    await client.until(lambda: client.connections or client.ended_count)
    if client.connections:
        client.end = client.connections[0]
    return client


def connections_of(stack, known_client):
    """Returns the number of connections that the gateway has admitted for the client."""
    return len(stack.service.listeners.controller.known_clients.by_name[known_client].admitted)
