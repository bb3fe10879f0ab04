"""Connections to the platform's hosts: the desk's messages to commands, answers back to messages."""

import asyncio
from typing import Any

from cherrydoor.codecs import resp
from cherrydoor.gateway.event_loop import dial
from cherrydoor.gateway.sockets import after_input, peer_closed
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

MOST_WAITING = 4 << 20  # bytes that may wait for a host that does not read
UNFINISHED = (
    0.25  # s that the rest of an answer may take; guards against those that stop short. Harms
)
# where a host stands still in the midst of an answer: its launch is held to be lost
FATES: dict[str, Any] = {
    resp.DONE: routing.AttemptOutcome.SUCCEEDED,
    resp.MISSING: routing.AttemptOutcome.FUNCTION_MISSING,
    resp.FULL: routing.AttemptOutcome.FULL,
    resp.BROKE: routing.AttemptOutcome.ERROR,
    resp.PAST: routing.AttemptOutcome.NOT_SENT,
}


class HostProtocol(asyncio.Protocol):
    """One connection to a host. `tags` holds what an answer is owed for, by the word on the wire; each entry goes
    with its answer or when it is dropped, so there are as many as the link has open."""

    def __init__(self, floor, link):
        self.upstream, self.link, self.reader, self.tags, self.timer = (
            floor,
            link,
            resp.Reader(),
            {},
            None,
        )
        self.transport: Any = None

    def connection_made(self, transport):
        self.transport = transport
        self.upstream.ends[self] = True
        self.upstream.service.post(
            self.upstream.service.dispatcher.connection_opened, self.link, self
        )

    def write(self, message):
        """An idle connection that the host has just closed is found out before anything is written to it: what is
        written may have run."""
        if self.transport.is_closing() or not self.tags and peer_closed(self.transport):
            if type(message) is not protocol.CancelAttempt:
                self.upstream.service.post(
                    self.upstream.service.dispatcher.message_not_sent, self.link, message.id
                )
            return
        kind = type(message)
        if kind is protocol.Attempt:
            tag = f"{message.request_id:016x}"
            self.tags[tag] = message.id
            data = resp.execute(
                tag,
                message.request_class,
                message.function,
                message.timeout_ms,
                message.body,
                message.idempotency_key,
            )
        elif kind is protocol.CancelAttempt:
            tag = next((tag for tag, number in self.tags.items() if number == message.id), "")
            if not tag:
                return
            del self.tags[tag]
            data = resp.drop(tag)
        elif kind is protocol.HealthCheck:
            data = resp.health(f"p{message.id}")
        elif kind is protocol.LoadOrder:
            data = resp.ensure(f"o{message.id}", message.function, message.copies)
        elif kind is protocol.Unload:
            data = resp.release(message.function)
        else:
            raise TypeError(f"no command for {message!r}")
        self.upstream.crossed(self.link.host.id, kind.__name__)
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MOST_WAITING:
            self.upstream.spoilt(self, "the host reads too slowly")

    def data_received(self, data):
        for answer in self.reader.feed(data):
            self.heard(answer)
        if self.reader.spoilt:
            self.upstream.spoilt(self, self.reader.spoilt)
        elif self.reader.held and self.timer is None:
            self.wait_for_rest()
        elif not self.reader.held and self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def wait_for_rest(self):
        loop = self.upstream.service.loop
        self.timer = loop.call_later(
            UNFINISHED, after_input, loop, self.unfinished, len(self.reader.held)
        )

    def unfinished(self, size):
        """Nothing more has come of an answer for a while; where some has, it has the same time again."""
        self.timer = None
        if self.reader.held and len(self.reader.held) == size:
            self.upstream.spoilt(self, "an answer stops short")
        elif self.reader.held:
            self.wait_for_rest()

    def heard(self, answer):
        """What is under an id that is not open here is passed over."""
        service, tag, word = self.upstream.service, answer.id, answer.word
        self.upstream.crossed(self.link.host.id, word)
        if tag in self.tags:
            if word not in FATES:
                return self.upstream.spoilt(self, "a probe's word to a launch")
            service.post(
                service.dispatcher.host_replied,
                self.link,
                protocol.AttemptResult(
                    self.tags.pop(tag),
                    FATES[word],
                    answer.note,
                    answer.crowd or 0,
                    answer.meter.get("inflight"),
                    answer.body,
                    None,
                    answer.meter.get("queue"),
                    answer.meter.get("x0"),
                ),
            )
        elif tag[:1] in "po" and tag[1:].isdigit() and len(tag) < 16:
            number = int(tag[1:])
            if tag[0] == "p" and word in (resp.FIT, resp.UNFIT):
                fate: Any = (
                    routing.AttemptOutcome.SUCCEEDED
                    if word == resp.FIT
                    else routing.AttemptOutcome.ERROR
                )
                service.post(
                    service.dispatcher.host_replied,
                    self.link,
                    protocol.HealthCheckResult(number, fate, answer.meter.get("inflight")),
                )
            elif tag[0] == "o" and word in FATES:
                service.post(
                    service.dispatcher.host_replied,
                    self.link,
                    protocol.LoadOrderResult(number, FATES[word], answer.copies or 0),
                )

    def close(self, reason=""):
        if self.transport is not None:
            self.transport.close()

    def abort(self):
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error):
        if self.timer is not None:
            self.timer.cancel()
        self.upstream.ends.pop(self, None)
        self.upstream.service.post(self.upstream.service.dispatcher.connection_lost, self.link)


class Upstream:
    """`places` has the address of each host that the desk knows; it is cut back with the desk's hosts."""

    def __init__(self, service):
        self.service, self.places, self.ends, self.traffic = service, {}, {}, None

    def dial(self, link):
        asyncio.get_running_loop().create_task(self.connect(link))

    async def connect(self, link):
        await dial(
            self.service, link, self.places.get(link.host.id, ""), lambda: HostProtocol(self, link)
        )

    def spoilt(self, end, why):
        """The connection is of no more use: what is open on it may have run."""
        counts = self.service.dispatcher.counters
        counts["links spoilt"] += 1
        self.crossed(end.link.host.id, "spoilt")
        self.service.say("a host's connection is spoilt", host=end.link.host.id, why=why)
        end.abort()
        self.service.post(self.service.dispatcher.connection_lost, end.link)

    def listed(self, how, rows, places):
        self.places.update(places)
        self.service.dispatcher.endpoints_updated(how, rows)
        self.service.configuration.fit(
            sum(host.row.state != "gone" for host in self.service.dispatcher.hosts.values())
        )
        if len(self.places) > 2 * len(self.service.dispatcher.hosts) + 16:
            self.places = {
                name: at
                for name, at in self.places.items()
                if name in self.service.dispatcher.hosts
            }

    def crossed(self, host, what):
        """Counts what crosses the sockets, while a trace is on."""
        if self.traffic is not None:
            self.traffic.setdefault(host, {}).setdefault(what, 0)
            self.traffic[host][what] += 1
