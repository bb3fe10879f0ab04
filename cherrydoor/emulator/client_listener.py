"""A gateway that uses virtual time and the in-memory network of the world.

Its code is that of the daemon; the clock, the listener, the resource measurements and the vote
store are replaced.
"""

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
    """A gateway's clock: Unix time in ms, which follows the virtual time of the world."""

    def __init__(self, world):
        self.world, self.offset_ms = world, world.wall_time() * 1000 - world.time() * 1000

    def now(self):
        return self.world.time() * 1000 + self.offset_ms


class UnlimitedResources:
    """Resource measurements of a process that is never short of CPU, memory or descriptors."""

    memory_limit_bytes = float("inf")

    def resident_bytes(self):
        return 0

    def measure(self):
        return UsageMeasured(0.0, 0.0, 0.0)

    def reserve_spare_descriptor(self):
        pass

    def release_spare_descriptor(self):
        return False

    def close(self):
        pass


class PipeConnection:
    """An incoming connection on a pipe; has the methods of one on a socket."""

    def __init__(self, service, make_protocol, pipe):
        self.listeners, self.make_protocol, self.pipe, self.protocol = (
            service.listeners,
            make_protocol,
            pipe,
            None,
        )
        self.connection = AdmittedConnection(
            pipe.other.address, service.listeners.clock.now(), self
        )

    def start_handshake(self):
        self.pipe.world.call_soon(
            lambda: (
                self.pipe.closing
                or self.pipe.world.connect_protocol(self.pipe, self.make_protocol(self))
            )
        )

    def protocol_made(self, protocol):
        self.protocol = protocol

    def release(self):
        self.protocol = None
        self.connection.handler = None

    def admit(self, longest_frame_bytes):
        self.protocol.admitted(longest_frame_bytes)

    def refuse(self, reason, retry_after_ms):
        if self.protocol is not None:
            return self.protocol.close(reason, retry_after_ms)
        self.pipe.protocol = asyncio.BaseProtocol()
        self.pipe.write(rejection_bytes(reason, -(-retry_after_ms // 10) * 10.0))
        self.pipe.close()

    def pause(self):
        self.protocol.pause()

    def resume(self):
        self.protocol.resume()


class MemoryVoteStore:
    """A voter's vote store in the memory of the emulation; it outlives the gateway as a file does.

    Attributes:
        disk: Stored votes by path, shared by all gateways.
    """

    def __init__(self, disk, path, name):
        self.disk, self.path = disk, path

    def read(self):
        stored = self.disk.get(self.path)
        return msgspec.json.decode(stored, type=Votes) if stored else None

    def save(self, votes, on_saved):
        self.disk[self.path] = msgspec.json.encode(votes)
        on_saved()

    def close(self):
        pass


class PausableLoop:
    """The event loop as one gateway sees it.

    Callbacks that come due while the gateway is paused run when it continues; callbacks of a killed
    gateway don't run.
    """

    def __init__(self, gateway, world):
        self.gateway, self.world, self.delayed = gateway, world, []

    def __getattr__(self, name):
        return getattr(self.world, name)

    def guarded(self, callback, args):
        if self.gateway.killed:
            return
        if self.gateway.paused:
            self.delayed.append((callback, args))
        else:
            callback(*args)

    def call_later(self, delay, callback, *args):
        return self.world.call_later(delay, self.guarded, callback, args)

    def call_soon(self, callback, *args):
        return self.world.call_soon(self.guarded, callback, args)

    def run_delayed(self):
        delayed, self.delayed = self.delayed, []
        for callback, args in delayed:
            self.world.call_soon(callback, *args)


class EmulatedGateway(GatewayService):
    """A gateway that the scenario can kill, as SIGKILL does, or pause, as SIGSTOP does.

    Attributes:
        killed: Whether it was killed.
        paused: Whether it is paused.
        tick_missed: Whether a tick came due during the pause.
    """

    def __init__(self, world, config, make_router, disk=None):
        """Prepares a gateway that `start` opens.

        Args:
            world: The event loop of the emulation.
            config: The gateway's configuration.
            make_router: Makes the router of the gateway.
            disk: Stored votes by path; None runs the gateway without peers.
        """
        self.world, self.killed, self.paused, self.tick_missed, self.listener = (
            world,
            False,
            False,
            False,
            None,
        )
        super().__init__(
            config,
            make_router,
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

    def listen(self, listen_address, make_protocol, tls_context):
        host, port = listen_address

        def accept(pipe):
            pipe.frozen = self.paused
            self.listeners.post(
                ConnectionAccepted(PipeConnection(self, make_protocol, pipe).connection)
            )

        self.listener = self.world.listen(host, port, accept)
        return self.listener.getsockname()[1]

    def post(self, handler, *arguments):
        if not self.killed:
            super().post(handler, *arguments)

    def tick(self):
        if self.killed:
            return
        if self.paused:
            self.tick_missed = True
            return
        super().tick()

    def set_timer(self):
        if not self.killed:
            super().set_timer()

    def transports(self):
        """Returns the transports of all connections of the gateway."""
        found = [transport_owner.transport for transport_owner in self.client_listener.connections]
        found += [
            incoming.handler.protocol.transport
            for incoming in list(self.listeners.controller.pending.unidentified)
            if incoming.handler.protocol
        ]
        found += [
            host_connection.writer.transport
            for host in self.dispatcher.hosts.values()
            for host_connection in host.connections
            if host_connection.writer
        ]
        found += [
            transport_owner.transport
            for transport_owner in (
                self.endpoint_watch.connection,
                self.releases and self.releases.connection,
            )
            if transport_owner
        ]
        found += (
            [
                transport_owner.transport
                for transport_owner in self.peer_services.peers.connections.values()
            ]
            if self.peer_services
            else []
        )
        return [pipe for pipe in found if pipe is not None]

    def kill(self):
        """Ends the gateway at once, as SIGKILL does: its connections are reset."""
        self.killed = True
        self.listener.close()
        self.listeners.timer.cancel()
        self.endpoint_watch.task.cancel()
        for task in self.releases.tasks if self.releases else ():
            task.cancel()
        if self.timer:
            self.timer.cancel()
        for pipe in self.transports():
            pipe.abort()
        if self.peer_services:
            self.peer_services.abort()

    def set_paused(self, is_paused):
        """Pauses the gateway or continues it, and then runs what came due during the pause."""
        self.paused = is_paused
        for pipe in self.transports():
            pipe.frozen = is_paused
            if not is_paused:
                self.world.call_soon(pipe.release)
        if not is_paused:
            self.loop.run_delayed()
        if not is_paused and self.tick_missed:
            self.tick_missed = False
            self.world.call_soon(self.tick)
