"""A gateway of the daemon's own text on the world's time and pipes."""

import asyncio
from typing import Any

import msgspec

from cherrydoor.admission.connections import AdmittedConnection
from cherrydoor.admission.incoming_connection import rejection_bytes
from cherrydoor.admission.messages import ConnectionAccepted, UsageMeasured
from cherrydoor.failover.peer_services import PeerServices
from cherrydoor.gateway.service import GatewayService
from cherrydoor.leader_election.messages import Votes


class Clock:
    """A gateway's clock on the world's time."""

    def __init__(self, world):
        self.world, self.offset_ms = world, world.wall_time() * 1000 - world.time() * 1000

    def now(self):
        return self.world.time() * 1000 + self.offset_ms


class UnlimitedResources:
    """Nothing is short here."""

    def measure(self):
        return UsageMeasured(0.0, 0.0, 0.0)

    def reserve_spare_descriptor(self):
        pass

    def release_spare_descriptor(self):
        return False

    def close(self):
        pass


class PipeConnection:
    """A connection on its way in, on a pipe in place of a socket."""

    def __init__(self, service, make, pipe):
        self.listeners, self.make, self.pipe, self.protocol = service.listeners, make, pipe, None
        self.connection = AdmittedConnection(
            pipe.other.address, service.listeners.clock.now(), self
        )

    def start_handshake(self):
        self.pipe.world.call_soon(
            lambda: (
                self.pipe.closing or self.pipe.world.connect_protocol(self.pipe, self.make(self))
            )
        )

    def admit(self, largest):
        self.protocol.admitted(largest)

    def refuse(self, word, retry_after_ms):
        if self.protocol is not None:
            return self.protocol.close(word, retry_after_ms)
        self.pipe.protocol = asyncio.BaseProtocol()
        self.pipe.write(rejection_bytes(word, -(-retry_after_ms // 10) * 10.0))
        self.pipe.close()

    def pause(self):
        self.protocol.pause()

    def resume(self):
        self.protocol.resume()


class MemoryVoteStore:
    """A keeper's file, in the world's memory: what was synced outlives the gateway."""

    def __init__(self, disk, path, name):
        self.disk, self.path = disk, path

    def read(self):
        kept = self.disk.get(self.path)
        return msgspec.json.decode(kept, type=Votes) if kept else None

    def save(self, promises, then):
        self.disk[self.path] = msgspec.json.encode(promises)
        then()

    def close(self):
        pass


class PausableLoop:
    """The world's loop as one gateway has it: what would be called while it stands still is called as it goes on."""

    def __init__(self, gateway, world):
        self.gateway, self.world, self.delayed = gateway, world, []

    def __getattr__(self, name):
        return getattr(self.world, name)

    def guarded(self, what, args):
        if self.gateway.dead:
            return
        if self.gateway.paused:
            self.delayed.append((what, args))
        else:
            what(*args)

    def call_later(self, delay, what, *args):
        return self.world.call_later(delay, self.guarded, what, args)

    def call_soon(self, what, *args):
        return self.world.call_soon(self.guarded, what, args)

    def run_delayed(self):
        delayed, self.delayed = self.delayed, []
        for what, args in delayed:
            self.world.call_soon(what, *args)


class EmulatedGateway(GatewayService):
    """A gateway of the daemon's own text; dead or standing still where the day says so."""

    def __init__(self, world, config, gate, disk=None):
        """disk: what keepers have synced, by path; None leaves the gateway alone."""
        self.world, self.dead, self.paused, self.late, self.listener = (
            world,
            False,
            False,
            False,
            None,
        )
        super().__init__(
            config,
            gate,
            UnlimitedResources(),
            None,
            Clock(world),
            None
            if disk is None
            else lambda service, incarnation=0: (
                PeerServices(
                    service, incarnation, lambda path, name: MemoryVoteStore(disk, path, name)
                )
                if service.config.peers["door"]
                else None
            ),
        )
        self.loop: Any = PausableLoop(self, world)

    def listen(self, where, make, context):
        host, port = where

        def accept(pipe):
            pipe.frozen = self.paused
            self.listeners.post(ConnectionAccepted(PipeConnection(self, make, pipe).connection))

        self.listener = self.world.listen(host, port, accept)
        return self.listener.getsockname()[1]

    def post(self, what, *args):
        if not self.dead:
            super().post(what, *args)

    def tick(self):
        if self.dead:
            return
        if self.paused:
            self.late = True
            return
        super().tick()

    def set_timer(self):
        if not self.dead:
            super().set_timer()

    def transports(self):
        """All its transports."""
        found = [end.transport for end in self.client_listener.connections]
        found += [
            caller.handler.protocol.transport
            for caller in list(self.listeners.controller.pending.unidentified)
            if caller.handler.protocol
        ]
        found += [
            link.writer.transport
            for host in self.dispatcher.hosts.values()
            for link in host.connections
            if link.writer
        ]
        found += [
            end.transport
            for end in (self.endpoint_watch.connection, self.releases and self.releases.connection)
            if end
        ]
        found += (
            [end.transport for end in self.peer_services.peers.connections.values()]
            if self.peer_services
            else []
        )
        return [wire for wire in found if wire is not None]

    def kill(self):
        self.dead = True
        self.listener.close()
        self.listeners.timer.cancel()
        self.endpoint_watch.task.cancel()
        for task in self.releases.tasks if self.releases else ():
            task.cancel()
        if self.timer:
            self.timer.cancel()
        for wire in self.transports():
            wire.abort()
        if self.peer_services:
            self.peer_services.abort()

    def set_paused(self, still):
        self.paused = still
        for wire in self.transports():
            wire.frozen = still
            if not still:
                self.world.call_soon(wire.release)
        if not still:
            self.loop.run_delayed()
        if not still and self.late:
            self.late = False
            self.world.call_soon(self.tick)
