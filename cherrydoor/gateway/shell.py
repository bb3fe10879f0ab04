"""The sockets of one gateway: door, floor and the list's follower. Bytes to inputs of the desk, its writes to bytes."""

import asyncio
from dataclasses import replace

import msgspec
import structlog

from cherrydoor import interface as io
from cherrydoor.admission import decide as d
from cherrydoor.admission.listener import CHUNK, Hall, Listener, Read, Uses
from cherrydoor.ends import End, Some
from cherrydoor.frames import codec
from cherrydoor.frames import messages as m
from cherrydoor.gateway.desk import Client, Desk
from cherrydoor.gateway.turn import Clock, Turn, address, dial
from cherrydoor.keys import decide as k
from cherrydoor.keys.keeper import Keeper, NotProved, Where
from cherrydoor.versions.feed import Releases

log = structlog.get_logger()


HELLO = 8192        # bytes of the longest hello that is read
EASE, LONGEST_EASE = 0.1, 30.0      # s between looks at whether a connection that is to end has anything open
QUIET = 250.0       # ms without a word from a client before its connection is closed on it


class ClientEnd(Read, End):
    """A client at the door: at first only a short hello is read from it."""

    def __init__(self, shell, arrival):
        super().__init__(shell.door, m.FROM_CLIENT, shell.hello, shell.bounds.client_bytes, HELLO)
        self.reader.halts, self.arrival, self.chunk = True, arrival, bytearray(CHUNK)
        self.client = Client(self)
        arrival.caller.open = self.client.open

    def connection_made(self, transport):
        self.arrival.end = self         # from now on it can be told why it is refused
        super().connection_made(transport)

    def data_received(self, data):
        heard = self.take(data)
        if heard and self.reader.held and self.arrival.caller.state == "seated" and not self.reader.fault:
            heard += self.take(b"")         # what came along with the hello
        self.holds(len(self.reader.held), heard)

    def seated(self, largest):
        self.reader.largest = min(largest, self.owner.shell.bounds.frame)
        self.owner.seated(self)


class Door:
    def __init__(self, shell):
        self.shell, self.ends = shell, Some()

    def greeted(self, end, hello):
        shell = self.shell
        if hello.role != "client":
            return end.close(f"a client is expected here, not a {hello.role}")
        try:
            office, proof = shell.keeper.identify(end.transport, hello.token)
        except NotProved as error:
            shell.hall.guard.count("not proved")       # not the word itself: it may hold what a client wrote
            return end.close(str(error), 1000.0)
        end.proof = proof
        shell.hall.post(d.Shown(end.arrival.caller, office))

    def seated(self, end):
        self.ends.add(end)
        self.shell.keeper.post(k.Joined(end, **end.proof))
        self.shell.post(self.shell.desk.came_in, end.client, end.reader.hello)

    def heard(self, end, message):
        shell = self.shell
        if end not in self.ends:
            return
        if type(message) is m.Event:
            shell.post(shell.desk.came, end.client, message)
            caller = end.arrival.caller
            group = caller.group
            group.read += 1
            if group.allowed is not None and group.read >= group.allowed and not group.paused:
                shell.hall.post(d.Poured(caller))
        else:
            shell.post(shell.desk.withdrawn, end.client, message.id)

    def put_out(self, end, why, at_once, since=None):
        """Ends a connection whose keys are out of service. Unless at once the client is told to go elsewhere, and it
        is closed when nothing is open on it and nothing has come for a while: what is under way to us while we close
        would be cut off untaken."""
        loop = asyncio.get_running_loop()
        if end not in self.ends:
            return
        if since is None:
            since = loop.time()
            if not at_once:
                end.write(m.Leaving(why))
        quiet = self.shell.clock.now() - max(end.arrival.caller.used, 1000 * since + self.shell.clock.ahead) > QUIET
        if at_once or not end.client.open and quiet or loop.time() - since > LONGEST_EASE:
            self.shell.desk.counts["connections put out"] += 1
            end.close(why)
        else:
            loop.call_later(EASE, self.put_out, end, why, False, since)

    def lost(self, end):
        self.shell.hall.post(d.Gone(end.arrival.caller))
        if end in self.ends:
            self.ends.discard(end)
            self.shell.keeper.post(k.Left(end))
            self.shell.post(self.shell.desk.went, end.client)
        if end.why and not end.why.startswith("[Errno"):
            log.info("a client's connection was closed", client=end.client.name, why=end.why)


class HostEnd(End):
    """A connection to a host."""

    def __init__(self, shell, link):
        super().__init__(shell.floor, m.FROM_HOST, shell.hello, shell.bounds.host_bytes, shell.bounds.frame)
        self.link = link

    def connection_made(self, transport):
        super().connection_made(transport)
        self.owner.shell.post(self.owner.shell.desk.linked, self.link, self)

    def write(self, message):
        try:
            super().write(message)
        except codec.BadFrame as error:     # the host says that it takes no frame of this size
            self.owner.too_large(self, message, error)


class Floor:
    def __init__(self, shell):
        self.shell = shell

    def dial(self, link):
        asyncio.get_running_loop().create_task(self.connect(link))

    async def connect(self, link):
        await dial(self.shell, link, link.host.id, lambda: HostEnd(self.shell, link), self.shell.keeper.client)

    def greeted(self, end, hello):
        if hello.role != "host":
            return end.close(f"a host is expected here, not a {hello.role}")
        self.shell.post(self.shell.desk.greeted, end.link, hello)

    def heard(self, end, message):
        self.shell.post(self.shell.desk.heard, end.link, message)

    def too_large(self, end, message, error):
        log.warning("a host takes no frame of this size", host=end.link.host.id, error=str(error))
        self.shell.post(self.shell.desk.heard, end.link, m.Outcome(message.id, "full"))

    def lost(self, end):
        self.shell.post(self.shell.desk.unlinked, end.link)


class ListEnd(End):
    """A connection to the list; revisions count up on it."""
    revision = 0


class Roll:
    """Follows the list: by push, or by asking when the module says so. Keeps the last one on disk."""

    def __init__(self, shell, where, saved, asks):
        self.shell, self.where, self.saved, self.asks = shell, where, saved, asks
        self.end, self.task, self.said, self.dirty = None, None, False, False

    def read_saved(self):
        """The list as last held; what cannot be read is said and left."""
        if not self.saved or not self.saved.exists():
            return None
        try:
            return msgspec.json.decode(self.saved.read_bytes(), type=list[m.Row])
        except (msgspec.DecodeError, OSError) as error:
            log.warning("the saved list cannot be read", file=str(self.saved), error=str(error))
            return None

    def save(self):
        self.dirty = False
        if not self.saved:
            return
        try:
            new = self.saved.with_suffix(".new")
            new.write_bytes(msgspec.json.encode(self.shell.desk.rows()))
            new.replace(self.saved)
        except OSError as error:
            log.warning("the list cannot be saved", file=str(self.saved), error=str(error))

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self.follow())

    async def follow(self):
        """Connects again and again; says so once while the list cannot be reached."""
        loop, pause = asyncio.get_running_loop(), 0.1
        while True:
            try:
                self.gone = loop.create_future()
                async with asyncio.timeout(5.0):
                    _, self.end = await loop.create_connection(
                        lambda: ListEnd(self, m.FROM_LIST, self.shell.hello), *address(self.where))
                pause = 0.1
                if self.said:
                    log.info("the list is reached", address=self.where)
                self.said = False
                if not self.asks and self.end:
                    self.end.write(m.Follow())
                await self.gone
                self.end = None
            except (TimeoutError, OSError) as error:
                if not self.said:
                    log.warning("the list cannot be reached, going on with the last one", address=self.where,
                                error=str(error) or "time-out", hosts=len(self.shell.desk.hosts))
                self.said = True
            await asyncio.sleep(pause)
            pause = min(2.0, pause * 1.5)

    def hear(self, asked):
        """The module asks for the list; either it comes, or a failure is told, and the module asks again."""
        asyncio.get_running_loop().call_soon(self.subscribe)

    def subscribe(self):
        if self.end is not None:
            self.end.write(m.Follow())
        else:
            self.shell.post(self.shell.desk.list_failed)

    def greeted(self, end, hello):
        if hello.role != "list":
            end.close(f"a list is expected here, not a {hello.role}")

    def heard(self, end, message):
        self.shell.post(self.listed, end, message)

    def listed(self, end, message):
        how = io.CHANGES if message.how == "changes" else io.WHOLE
        if message.revision < end.revision:     # guards against a list that is served by several, one behind
            self.shell.desk.counts["late lists"] += 1
            log.warning("a list older than the one before is ignored", revision=message.revision, had=end.revision)
            return
        end.revision = message.revision
        self.shell.desk.listed(how, message.rows)
        end.write(m.Heard(message.revision))
        if not self.dirty:
            self.dirty = True
            asyncio.get_running_loop().call_later(0.5, self.save)

    def lost(self, end):
        if self.end is end:
            self.end = None
            self.shell.post(self.shell.desk.list_failed)
            log.warning("the connection to the list is lost", address=self.where, why=end.why)
        if not self.gone.done():
            self.gone.set_result(None)


class Shell(Turn):
    """One gateway: its sockets and what goes on between them."""

    def __init__(self, figures, gate, uses=None, places=None, clock=None):
        """uses: what the process has in use, shared by its gateways; places: connections that there are descriptors
        for."""
        super().__init__(clock or Clock())
        self.figures, self.bounds = figures, figures.bounds
        self.door, self.floor = Door(self), Floor(self)
        self.roll = Roll(self, figures.list_at, figures.saved, figures.lease.asks)
        self.make_gate, self.broken = gate, 0
        self.uses, self.own_uses = uses or Uses(figures.memory), uses is None
        manners = figures.manners
        if places is not None:
            manners = replace(manners, places=min(places, manners.places))
        self.hall = Hall(manners, self.clock, self.uses)
        said = {name: value for name, value in figures.keys.items() if name not in ("standing", "warn")}
        self.keeper = Keeper(Where(**said, usage=figures.usage), self.door.put_out)
        self.done = self.loop.create_future()
        self.releases = Releases(self, figures.releases) if figures.releases["feed"] else None
        self.desk = self.new_desk()

    def new_desk(self):
        more = (self.releases.versions, self.releases.post) if self.releases else (None, None)
        return Desk(self.make_gate(self.figures.lease), self.figures.terms, self.floor.dial, self.clock.now(),
                    self.roll.hear, *more)

    def hello(self):
        return m.Hello(m.VERSION, "gateway", self.figures.name, self.clock.now(), 0.0, self.bounds.frame,
                       self.figures.terms.most_open)

    async def start(self):
        self.keeper.start()
        saved = self.roll.read_saved()
        if saved is not None:
            self.post(self.desk.listed, io.SAVED, saved)
        self.roll.start()
        if self.releases:
            await self.releases.start()
        self.port = self.listen(address(self.figures.door), lambda arrival: ClientEnd(self, arrival),
                                (lambda: self.keeper.server) if self.keeper.sealed else None)
        self.set_timer()

    def listen(self, where, make, context):
        """Opens the door; its port."""
        return Listener(self.hall, where, make, context).port

    def turned(self):
        if self.desk.draining is not None and not self.desk.taken and not self.done.done():
            self.done.set_result(0)

    def start_anew(self):
        """A fault in the decisions ends this gateway's life and begins another: clients are cut off, as they would
        be if the process had died, and the list is all that is kept."""
        self.broken += 1
        log.critical("a fault in the decisions; starting anew", gateway=self.figures.name, exc_info=True)
        old, rows = self.desk, self.desk.rows()
        for end in list(self.door.ends):
            end.abort("the gateway starts anew")
        for host in old.hosts.values():
            for link in host.links:
                if link.wire is not None:
                    link.wire.abort()
        self.desk = self.new_desk()
        self.post(self.desk.listed, io.SAVED, rows)
        if self.broken > 5 and not self.done.done():
            self.done.set_result(70)

    def drain(self, reason):
        if self.desk.draining is None:
            log.info("draining", gateway=self.figures.name, events=len(self.desk.taken), reason=reason)
            self.post(self.desk.drain, reason)
            self.loop.call_later(self.bounds.drain / 1000, self.drained_out)

    def drained_out(self):
        if not self.done.done():
            log.warning("the time to drain is over", gateway=self.figures.name, events=len(self.desk.taken))
            self.done.set_result(3)

    async def stop(self):
        self.hall.close()
        self.keeper.close()
        if self.releases:
            self.releases.close()
        self.roll.task.cancel()
        for end in list(self.door.ends):
            end.close()
        for host in self.desk.hosts.values():
            for link in host.links:
                if link.wire is not None:
                    link.wire.close()
        self.halt()
        self.roll.save()
        if self.own_uses:
            self.uses.close()
        await asyncio.sleep(0)
