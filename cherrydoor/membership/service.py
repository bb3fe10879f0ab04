"""Runs the links to peers on sockets: passes messages to handlers, and executes link actions.

`peer_links.py` decides which peers are linked.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import structlog

from cherrydoor.dialing import connect
from cherrydoor.membership.bootstrap import configured_table
from cherrydoor.membership.handshake import rejection_reason
from cherrydoor.membership.link_state import CloseLink, Dial, LinkAction
from cherrydoor.membership.peer_connection import PeerConnection, parse_address
from cherrydoor.membership.peer_links import PeerLinks
from cherrydoor.protocol import codec
from cherrydoor.protocol.basics import VERSION, Hello
from cherrydoor.protocol.peers import MembershipUpdate

log = structlog.get_logger()
TICK_INTERVAL_S = 0.1  # timer resolution of all links; well below the shortest heartbeat interval
CONNECT_TIMEOUT_S = 1.0  # limit for opening a connection, and again for the peer's hello
NO_HELLO_REASON = "no hello in time"

MessageHandler = Callable[[str, Any], None]


class MembershipService:
    """The links of one gateway.

    Other services subscribe to message types. Each of `change_listeners` is called after every
    tick, and each of `link_listeners` with the name of a peer that has just been linked.

    Invariant: `connections` holds, by the peer's name, the one kept connection to each linked peer.
    """

    def __init__(self, service: Any, settings: Any, incarnation: int | None = None) -> None:
        """Prepares the links; `start` opens them.

        Args:
            service: The gateway's service, which holds the clock, loop, configuration and TLS.
            settings: The configuration's section on peers.
            incarnation: The incarnation of this gateway; by default the current time in ms.
        """
        self.service = service
        self.settings = settings
        self.loop: asyncio.AbstractEventLoop = service.loop
        incarnation = incarnation or int(self.now())
        now_ms = self.now()
        self.members = configured_table(service.config, settings, incarnation, now_ms)
        self.local = self.members.local
        self.links = PeerLinks(
            self.members,
            now_ms,
            settings["beat"],
            settings["silent"],
            settings["next"],
            service.config.seed,
        )
        self.connections: dict[str, PeerConnection] = {}
        self.handlers: dict[type, MessageHandler] = {}
        self.change_listeners: list[Callable[[], None]] = []
        self.link_listeners: list[Callable[[str], None]] = []
        self.server: asyncio.Server | None = None
        self.dial_tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.is_closed = False
        self.is_duplicate_logged = False
        self.frames_sent = 0
        self.bytes_sent = 0

    def now(self) -> float:
        """Returns the current time of the gateway's clock in ms."""
        now_ms: float = self.service.clock.now()
        return now_ms

    def hello(self) -> Hello:
        """Returns the hello that this gateway sends to peers."""
        return Hello(
            VERSION,
            "peer",
            self.local.name,
            self.now(),
            incarnation=self.local.incarnation,
        )

    async def start(self) -> None:
        """Listens for peers, and starts the timer.

        Raises:
            OSError: The address cannot be listened on.
            InvalidAddressError: The configured address is not host:port.
        """
        host, port = parse_address(self.settings["door"])
        self.server = await self.loop.create_server(
            lambda: PeerConnection(self), host, port, ssl=self.service.tls.server
        )
        self.tick()

    def close(self) -> None:
        """Leaves the fleet: notifies all linked peers, so that none of them suspects us."""
        if self.is_closed:
            return
        self.members.leave()
        self.carry_out(self.links.gossip())
        self.stop()
        for connection in list(self.connections.values()):
            connection.close()

    def abort(self) -> None:
        """Aborts all links without a message, as a crash of the process would."""
        self.stop()
        for connection in list(self.connections.values()):
            connection.abort()

    def stop(self) -> None:
        """Stops the timer, the listening socket and the dials in progress."""
        self.is_closed = True
        if self.timer:
            self.timer.cancel()
        if self.server:
            self.server.close()
        for task in self.dial_tasks:
            task.cancel()

    # ---- decisions
    def tick(self) -> None:
        """Runs the timers of the link policy, and calls the change listeners."""
        if self.is_closed:
            return
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self.tick)
        self.carry_out(self.links.tick(self.now()))
        if self.members.is_duplicated and not self.is_duplicate_logged:
            self.is_duplicate_logged = True
            log.error(
                "another process has this gateway's name and incarnation", gateway=self.local.name
            )
        for on_change in self.change_listeners:
            on_change()

    def carry_out(self, actions: list[LinkAction]) -> None:
        """Executes the actions of the link policy in order."""
        for action in actions:
            if isinstance(action, Dial):
                task = self.loop.create_task(self.dial(action))
                self.dial_tasks.add(task)
                task.add_done_callback(self.dial_tasks.discard)
            elif isinstance(action, CloseLink):
                connection = self.connections.pop(action.name, None)
                if connection is not None:
                    connection.is_kept = False
                    connection.close(action.reason)
            else:
                self.send(action.to, action.message)

    def send(self, to: str, message: Any) -> bool:
        """Sends a message if the peer is linked, else drops it; returns whether it is linked."""
        connection = self.connections.get(to)
        if connection is None:
            return False
        connection.write(message)
        return True

    def send_to_all(self, names: Iterable[str], message: Any) -> None:
        """Sends a message, encoded once, to those of the named peers that are linked."""
        data = codec.encode(message)
        for name in names:
            if name in self.connections:
                self.connections[name].write_bytes(data)

    def request_link(self, name: str) -> None:
        """Requests a link to the peer for a while."""
        self.carry_out(self.links.want(self.now(), name))

    def subscribe(self, message_type: type, handler: MessageHandler) -> None:
        """Registers `handler(peer_name, message)` for all messages of one type."""
        self.handlers[message_type] = handler

    # ---- sockets
    async def dial(self, action: Dial) -> None:
        """Connects to a peer, and starts the timeout for its hello."""
        is_refused = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await connect(
                    lambda: PeerConnection(self, action.name),
                    *parse_address(action.address),
                    self.service.tls.peer,
                )
            self.loop.call_later(CONNECT_TIMEOUT_S, self.on_hello_timeout, connection)
            return
        except ConnectionRefusedError:
            is_refused = True
        except (TimeoutError, OSError, ValueError):
            pass
        self.carry_out(self.links.on_dial_failed(self.now(), action.name, is_refused))

    def on_hello_timeout(self, connection: PeerConnection) -> None:
        """Aborts a connection whose peer has not sent its hello."""
        if connection.reader.hello is None and not self.is_closed:
            connection.abort(NO_HELLO_REASON)

    def hello_received(self, connection: PeerConnection, hello: Hello) -> None:
        """Handles a peer's hello; called by `FramedConnection`."""
        reason = rejection_reason(connection, hello, self.local.name, self.service.tls)
        if reason:
            connection.close(reason)
            return
        if hello.name == self.local.name:
            if hello.incarnation == self.local.incarnation:
                self.members.is_duplicated = True
            connection.close("this is the gateway of that name")
            return
        connection.name = hello.name
        is_dialled_by_us = bool(connection.dialled_name)
        is_kept, actions = self.links.on_link_up(
            self.now(), hello.name, hello.incarnation, is_dialled_by_us
        )
        if not is_kept:
            connection.close("linked already")
            return
        other = self.connections.get(hello.name)
        if other is not None:
            other.is_kept = False
            other.close("linked anew")
        connection.is_kept = True
        self.connections[hello.name] = connection
        self.carry_out(actions)
        for on_linked in self.link_listeners:
            on_linked(hello.name)

    def message_received(self, connection: PeerConnection, message: Any) -> None:
        """Handles a peer's message; called by `FramedConnection`."""
        if not connection.is_kept or self.is_closed:
            return
        self.links.on_message(self.now(), connection.name)
        message_type = type(message)
        if message_type is MembershipUpdate:
            self.carry_out(self.links.on_membership_update(self.now(), message.rows))
        elif message_type in self.handlers:
            self.handlers[message_type](connection.name, message)

    def connection_ended(self, connection: PeerConnection) -> None:
        """Handles the end of a connection; called by `FramedConnection`."""
        if self.is_closed:
            return
        if connection.is_kept:
            del self.connections[connection.name]
            self.carry_out(self.links.on_link_down(self.now(), connection.name))
        elif connection.dialled_name:
            # A peer that closes before its hello is not a running gateway: a proxy in front of it
            # accepted the connection but has nothing to forward it to. This counts as refused,
            # unless this gateway closed the connection because the hello timed out.
            is_refused = (
                connection.reader.hello is None and connection.close_reason != NO_HELLO_REASON
            )
            self.carry_out(
                self.links.on_dial_failed(self.now(), connection.dialled_name, is_refused)
            )
