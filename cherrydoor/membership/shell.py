"""Links to peers on sockets: bytes to notes and actions to bytes. What is linked to whom is decided in links.py."""

import asyncio

import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.membership.decide import Me, Members
from cherrydoor.membership.links import Close, Dial, Links
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol import peers as p
from cherrydoor.protocol.zone_drain import ZONE_DRAIN_MESSAGES
from cherrydoor.tls.keeper import NotProved

log = structlog.get_logger()
LOOK = 0.1  # s between two looks at all links
CONNECT = 1.0  # s for a connection to come up, and as long again for its hello
NO_HELLO = "no hello in time"
WAITING = 8 * 2**20  # bytes that may wait for a slow peer; beyond it its link is cut, and made anew


def address(text):
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class PeerEnd(FramedConnection):
    """One end of a link between gateways."""

    def __init__(self, peers, name=""):
        """name: whom we dialled, "" where we were."""
        super().__init__(peers, (*p.PEER_MESSAGES, *ZONE_DRAIN_MESSAGES), peers.hello, WAITING)
        self.peers, self.dialled, self.name, self.stands = peers, name, name, False

    def write_bytes(self, data):
        self.peers.frames += 1
        self.peers.bytes += len(data)
        super().write_bytes(data)


class Peers:
    """The links of one gateway. Others follow what passes by `follow(kind, what)`, and each change of who is there by
    `changed`, a list of callables."""

    def __init__(self, service, said, incarnation=None):
        """shell: the gateway's; said: the lease's record of peers."""
        self.service, self.said, self.loop = service, said, service.loop
        name = service.config.name
        keepers = {one["name"]: one["at"] for one in said["keepers"]}
        self.me = Me(
            name,
            incarnation or int(service.clock.now()),
            said["at"] or said["door"],
            service.config.lease.zone,
            name in keepers,
        )
        now = self.now()
        self.members = Members(self.me, now)
        self.members.hear(
            now, [p.Member(one, 0, at, keeper=True) for one, at in keepers.items() if one != name]
        )
        self.links = Links(
            self.members, now, said["beat"], said["silent"], said["next"], service.config.seed
        )
        self.linked: list = []  # callables: told of a name that has just been linked
        self.ends, self.handlers, self.changed, self.server, self.tasks = {}, {}, [], None, set()
        self.timer, self.closed, self.warned = None, False, False
        self.frames = self.bytes = 0  # sent to peers

    def now(self):
        return self.service.clock.now()

    def hello(self):
        return protocol.Hello(
            protocol.VERSION, "peer", self.me.name, self.now(), incarnation=self.me.incarnation
        )

    async def start(self):
        host, port = address(self.said["door"])
        self.server = await self.loop.create_server(
            lambda: PeerEnd(self), host, port, ssl=self.service.tls.server
        )
        self.look()

    def close(self):
        """Leaves: a word to everybody linked, so that nobody takes this for a loss."""
        if self.closed:
            return
        self.members.leave()
        self.carry_out(self.links.tell())
        self.closed = True
        if self.timer:
            self.timer.cancel()
        if self.server:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for end in list(self.ends.values()):
            end.close()

    def abort(self):
        """Cuts all links without a word, as the loss of the process would."""
        self.closed = True
        for what in (self.timer, *self.tasks):
            if what:
                what.cancel()
        if self.server:
            self.server.close()
        for end in list(self.ends.values()):
            end.abort()

    # ---- decisions
    def look(self):
        if self.closed:
            return
        self.timer = self.loop.call_later(LOOK, self.look)
        self.carry_out(self.links.tick(self.now()))
        if self.members.doubled and not self.warned:
            self.warned = True
            log.error("another process has this gateway's name and life", gateway=self.me.name)
        for tell in self.changed:
            tell()

    def carry_out(self, actions):
        for action in actions:
            if type(action) is Dial:
                task = self.loop.create_task(self.dial(action))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            elif type(action) is Close:
                end = self.ends.pop(action.name, None)
                if end is not None:
                    end.stands = False
                    end.close(action.why)
            else:
                self.say(action.to, action.what)

    def say(self, to, message):
        """To a peer that is linked; lost where it is not."""
        end = self.ends.get(to)
        if end is not None:
            end.write(message)
        return end is not None

    def say_all(self, names, message):
        """The same to several, encoded once."""
        data = codec.encode(message)
        for name in names:
            if name in self.ends:
                self.ends[name].write_bytes(data)

    def ask(self, name):
        """Wants a link to this name for a while."""
        self.carry_out(self.links.ask(self.now(), name))

    def follow(self, kind, what):
        """what(name, message) for each message of that kind."""
        self.handlers[kind] = what

    # ---- sockets
    async def dial(self, action):
        refused = False
        try:
            async with asyncio.timeout(CONNECT):
                _, end = await self.loop.create_connection(
                    lambda: PeerEnd(self, action.name),
                    *address(action.at),
                    ssl=self.service.tls.peer,
                )
            self.loop.call_later(CONNECT, self.no_hello, end)
            return
        except ConnectionRefusedError:
            refused = True
        except (TimeoutError, OSError, ValueError):
            pass
        self.carry_out(self.links.not_up(self.now(), action.name, refused))

    def no_hello(self, end):
        if end.reader.hello is None and not self.closed:
            end.abort(NO_HELLO)

    def greeted(self, end, hello):
        if hello.role != "peer" or not hello.incarnation:
            return end.close(f"a peer is expected here, not a {hello.role}")
        if end.dialled and hello.name != end.dialled:
            return end.close(f"{end.dialled} is expected here, not {hello.name}")
        if self.service.tls.sealed and not self.proved(end, hello):
            log.warning(
                "not linked: its certificate is not of that name",
                gateway=self.me.name,
                peer=hello.name,
            )
            return end.close("its certificate is not of that name")
        if hello.name == self.me.name:
            self.members.doubled = hello.incarnation == self.me.incarnation or self.members.doubled
            return end.close("this is the gateway of that name")
        end.name = hello.name
        stays, actions = self.links.up(self.now(), hello.name, hello.incarnation, bool(end.dialled))
        if not stays:
            return end.close("linked already")
        other = self.ends.get(hello.name)
        if other is not None:
            other.stands = False
            other.close("linked anew")
        end.stands, self.ends[hello.name] = True, end
        self.carry_out(actions)
        for tell in self.linked:
            tell(hello.name)

    def proved(self, end, hello):
        """Whether the peer's certificate, of authorities that are believed here, bears the name that it says."""
        try:
            return self.service.tls.identify(end.transport, "")[0] == hello.name
        except NotProved:
            return False

    def heard(self, end, message):
        if not end.stands or self.closed:
            return
        self.links.heard(self.now(), end.name)
        if type(message) is p.MembershipUpdate:
            self.carry_out(self.links.members_heard(self.now(), message.rows))
        elif type(message) in self.handlers:
            self.handlers[type(message)](end.name, message)

    def lost(self, end):
        if self.closed:
            return
        if end.stands:
            del self.ends[end.name]
            self.carry_out(self.links.down(self.now(), end.name))
        elif end.dialled and end.reader.hello is None:
            # who closes before a word is no gateway any more: what stands in front of it has nobody to pass us on to
            self.carry_out(self.links.not_up(self.now(), end.dialled, end.why != NO_HELLO))
        elif end.dialled:
            self.carry_out(self.links.not_up(self.now(), end.dialled, False))
