"""A ring of keys that a test offers facts to, and a gateway with TLS whose files it changes."""

import asyncio

from stack import Client, now

from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import decide as d
from cherrydoor.tls import files

DAY = 86400000.0
NOW = 20000 * DAY


class Facts:
    def __init__(self, **usage):
        self.ring, self.now, self.marks = d.Ring(d.Usage(**usage)), NOW, 0

    def take(self, note):
        return self.ring.take(self.now, note)

    def offer(self, part, what=None, fault="", mark=None):
        self.marks += 1
        return self.take(d.Offered(part, mark or f"m{self.marks}", what, fault))

    def wait(self, ms):
        self.now += ms
        return self.take(d.Tick())


def pair(name="g", since=-DAY, until=90 * DAY, matches=True):
    return d.Pair("1a", name, NOW + since, NOW + until, matches)


def authority(name, until=900 * DAY):
    return d.Authority(name, name, NOW - DAY, NOW + until)


def lease_part(folder, more=""):
    return (
        f'bounds: {{}}\nkeys: {{certificate: "{folder}/g0.pem", key: "{folder}/g0.key", '
        f'authorities: "{folder}/authorities.pem", revoked: "{folder}/revoked.pem", '
        f'tokens: "{folder}/tokens.jwks", look: 50ms, {more}}}\n'
    )


def made(folder):
    """A folder of keys for gateway g0 and clients harbour and meadow."""
    from cherrydoor.tls.make import Folder

    keys = Folder(folder)
    keys.authority()
    keys.issue("gateway", "g0", addresses=["127.0.0.1"])
    keys.issue("client", "harbour")
    keys.issue("client", "meadow")
    keys.token_key("k1", ["harbour"])
    return keys


def client_context(folder, name=""):
    _, _, trusted = files.authorities(folder / "authorities.pem")
    chain = files.pair(folder / f"{name}.pem", folder / f"{name}.key")[2:] if name else (b"", b"")
    return files.context(False, *chain, trusted)


async def sealed(stack, folder, name="", token="", port=None):
    """A client over TLS, with the certificate of that name; its connection may have been refused."""
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
    await client.until(lambda: client.ends or client.lost_ends)
    if client.ends:
        client.end = client.ends[0]
    return client


def seated(stack, office):
    return len(stack.service.listeners.controller.connection_slots.offices[office].seated)
