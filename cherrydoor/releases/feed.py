"""The release feed followed, what was kept over a start, and the socket by which an operator speaks to a gateway."""

import asyncio
import hashlib
from pathlib import Path

import msgspec
import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.control import ControlSocket
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases import decide as d

log = structlog.get_logger()
TICK, AGAIN = (
    0.5,
    10.0,
)  # s between looks, and between asking the feed for all that it has: what was lost on the
# way is heard of then. While half of the gateways call another version, hosts hold both


class Broken(ValueError):
    """What was kept cannot be used; says why."""


def seal(kept):
    """The bytes of what is kept: a line with the SHA-256 of the rest, and the rest."""
    body = msgspec.json.encode(kept, order="sorted")
    return hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def unseal(data):
    """What seal() was given; Broken where it is not whole."""
    mark, _, body = data.partition(b"\n")
    if hashlib.sha256(body).hexdigest().encode() != mark:
        raise Broken("its sum is wrong")
    return msgspec.json.decode(body)


class Releases:
    """One gateway's versions on its loop."""

    def __init__(self, service, said):
        self.service, self.where = service, said["feed"]
        self.saved = Path(said["saved"]) if said["saved"] else None
        self.control = ControlSocket(said["control"], self.obey) if said["control"] else None
        self.wall = service.clock.now  # ms since 1970, never back
        self.versions = d.Versions(self.wall())
        self.end, self.tasks, self.told = None, [], 0
        self.take_back()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.follow()), loop.create_task(self.beat())]
        if self.control:
            await self.control.start()

    def close(self):
        for task in self.tasks:
            task.cancel()
        if self.end is not None:
            self.end.close()
        if self.control:
            self.control.close()
        self.save()

    # ---- decisions
    def post(self, note):
        for action in self.versions.take(self.wall(), note):
            if type(action) is d.LoadAhead:
                self.service.post(self.service.dispatcher.function_expected, action.name)
            elif type(action) is d.Unload:
                self.service.post(self.service.dispatcher.unload, action.name, action.hosts)
            else:
                self.service.dispatcher.counters[f"releases: {action.state.split(',')[0]}"] += 1
                log.info(
                    "release",
                    gateway=self.service.config.name,
                    function=action.function,
                    version=action.version,
                    state=action.state,
                    why=action.why,
                )

    async def beat(self):
        loop = asyncio.get_running_loop()
        asked = loop.time()
        while True:
            await asyncio.sleep(TICK)
            self.post(d.Tick())
            if self.end is not None and loop.time() - asked >= AGAIN:
                asked = loop.time()
                self.end.write(protocol.Watch())
            if self.versions.changed:
                self.save()

    # ---- over a start
    def save(self):
        if self.saved is None:
            return
        try:
            new = self.saved.with_name(self.saved.name + ".new")
            new.write_bytes(seal(self.versions.kept()))
            new.replace(self.saved)
        except OSError as error:
            log.warning(
                "what has become of releases cannot be saved",
                file=str(self.saved),
                error=str(error),
            )

    def take_back(self):
        """A file that is broken is set aside, and the old versions are called until the feed tells more."""
        if self.saved is None or not self.saved.exists():
            return
        try:
            self.versions.take_back(unseal(self.saved.read_bytes()))
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            aside = self.saved.with_name(self.saved.name + ".broken")
            self.versions = d.Versions(self.wall())
            try:
                self.saved.replace(aside)
            except OSError:
                pass
            log.error(
                "what had become of releases cannot be read and is set aside",
                file=str(aside),
                error=str(error),
            )

    # ---- the feed
    async def follow(self):
        loop, pause, said = asyncio.get_running_loop(), 0.1, False
        host, _, port = self.where.rpartition(":")
        while True:
            try:
                self.gone = loop.create_future()
                async with asyncio.timeout(5.0):
                    _, end = await loop.create_connection(
                        lambda: FramedConnection(self, protocol.FROM_FEED, self.service.hello),
                        host,
                        int(port),
                    )
                end.write(protocol.Watch())
                pause, said = 0.1, False
                await self.gone
            except (TimeoutError, OSError) as error:
                if not said:
                    log.warning(
                        "the release feed cannot be reached, going on with what is known",
                        address=self.where,
                        error=str(error) or "time-out",
                    )
                said = True
            await asyncio.sleep(pause)
            pause = min(2.0, pause * 1.5)

    def greeted(self, end, hello):
        self.end = end
        if hello.role != "feed":
            end.close(f"a feed is expected here, not a {hello.role}")

    def heard(self, end, message):
        for one in message.releases:
            self.post(d.Fed(one.function, one.version, one.state))
        end.write(protocol.UpdateAcknowledged(message.revision))

    def lost(self, end):
        if self.end is end:
            self.end = None
        if not self.gone.done():
            self.gone.set_result(None)

    # ---- the operator
    def obey(self, said):
        what = said["do"]
        if what == "announce":
            self.post(d.Fed(str(said["function"]), int(said["version"])))
        elif what in ("hold", "go on", "withdraw", "complete"):
            line = self.versions.lines.get(said["function"])
            if line is None or line.release is None:
                return {"error": f"no release of {said['function']} is known here"}
            self.post(d.Ordered(said["function"], what))
        elif what != "show":
            return {"error": f"unknown: {what}"}
        self.save()
        rows = self.versions.table()
        return {
            "gateway": self.service.config.name,
            "releases": [row for row in rows if said.get("function") in (None, row["function"])],
        }
