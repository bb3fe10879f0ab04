"""The I/O around the rollout controller: release feed, state file, control socket."""

import asyncio
from pathlib import Path
from typing import Any

import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.dialing import connect
from cherrydoor.gateway.control import ControlSocket
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases.controller import RolloutController
from cherrydoor.releases.messages import (
    Action,
    LoadAhead,
    Message,
    OperatorAction,
    OperatorCommand,
    ReleaseChanged,
    ReleaseState,
    ReleaseUpdated,
    Tick,
    UnloadIdle,
)
from cherrydoor.releases.state_file import StateFile

log = structlog.get_logger()

TICK_INTERVAL_S = 0.5  # how often the controller checks its timeouts
# How often the whole feed is requested, which recovers updates that were lost. Until a lost update
# is recovered, gateways call different versions and hosts must keep both loaded.
RESYNC_INTERVAL_S = 10.0
CONNECT_TIMEOUT_S = 5.0
INITIAL_BACKOFF_S = 0.1  # delay before the first reconnection to the feed
BACKOFF_FACTOR = 1.5  # growth of the delay with each failed connection
MAX_BACKOFF_S = 2.0

# Errors that reading or restoring a malformed state file may raise.
INVALID_STATE_ERRORS = (OSError, ValueError, KeyError, TypeError, AttributeError)


class ReleaseService:
    """Runs the rollout controller of one gateway on its event loop.

    It owns the connection to the feed, two tasks, the state file and the control socket.

    Attributes:
        controller: The dispatcher asks it which version a request calls.
        connection: The connection to the feed; None while disconnected.
        tasks: The background tasks, which run until `close`.
    """

    def __init__(self, service: Any, settings: dict[str, Any]) -> None:
        """Restore the state from the state file, if there is one.

        Args:
            service: The gateway, used for its clock, dispatcher, hello and configuration.
            settings: The `releases` section of the configuration, with the keys `feed` (address),
                `saved` (path of the state file) and `control` (path of the control socket).
        """
        self.service = service
        self._now_ms = service.clock.now
        self.controller = RolloutController(self._now_ms())
        self.connection: Any = None
        self.tasks: list[asyncio.Task[None]] = []
        self._feed_address: str = settings["feed"]
        self._state_file = StateFile(Path(settings["saved"])) if settings["saved"] else None
        self._control: Any = None
        if settings["control"]:
            self._control = ControlSocket(settings["control"], self.execute_command)
        self._disconnected: asyncio.Future[None]
        self._restore()

    async def start(self) -> None:
        """Start following the feed, ticking, and listening on the control socket."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._follow_feed()),
            loop.create_task(self._tick_periodically()),
        ]
        if self._control:
            await self._control.start()

    def close(self) -> None:
        """Stop the tasks, close the connections and save the state."""
        for task in self.tasks:
            task.cancel()
        if self.connection is not None:
            self.connection.close()
        if self._control:
            self._control.close()
        self._save()

    # ---- decisions
    def post(self, message: Message) -> None:
        """Pass a message to the controller and carry out the resulting actions."""
        for action in self.controller.take(self._now_ms(), message):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        dispatcher = self.service.dispatcher
        match action:
            case LoadAhead():
                self.service.post(dispatcher.function_expected, action.name)
            case UnloadIdle():
                self.service.post(dispatcher.unload, action.name, action.hosts)
            case ReleaseChanged():
                dispatcher.counters[f"releases: {action.state.split(',')[0]}"] += 1
                log.info(
                    "release",
                    gateway=self.service.config.name,
                    function=action.function,
                    version=action.version,
                    state=action.state,
                    why=action.reason,
                )

    async def _tick_periodically(self) -> None:
        loop = asyncio.get_running_loop()
        requested_at_s = loop.time()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.post(Tick())
            if self.connection is not None and loop.time() - requested_at_s >= RESYNC_INTERVAL_S:
                requested_at_s = loop.time()
                self.connection.write(protocol.Watch())
            if self.controller.has_unsaved_changes:
                self._save()

    # ---- persistence
    def _save(self) -> None:
        if self._state_file is None:
            return
        try:
            self._state_file.write(self.controller.stored())
        except OSError as error:
            log.warning(
                "release state cannot be saved",
                file=str(self._state_file.path),
                error=str(error),
            )

    def _restore(self) -> None:
        """Restore the state from the state file; rename the file if it is not valid.

        Without a valid file, the unversioned functions are called until the feed has been read.
        """
        if self._state_file is None or not self._state_file.exists():
            return
        try:
            self.controller.restore(self._state_file.read())
        except INVALID_STATE_ERRORS as error:
            self.controller = RolloutController(self._now_ms())
            log.error(
                "release state cannot be read, file set aside",
                file=str(self._state_file.set_aside()),
                error=str(error),
            )

    # ---- the feed
    async def _follow_feed(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        unreachable_logged = False
        while True:
            try:
                await self._connect()
                backoff_s = INITIAL_BACKOFF_S
                unreachable_logged = False
                await self._disconnected
            except (TimeoutError, OSError) as error:
                if not unreachable_logged:
                    log.warning(
                        "release feed unreachable, continuing with the known releases",
                        address=self._feed_address,
                        error=str(error) or "time-out",
                    )
                unreachable_logged = True
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * BACKOFF_FACTOR)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self._feed_address.rpartition(":")
        self._disconnected = loop.create_future()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection: Any
            _, connection = await connect(self._new_connection, host, int(port))
        connection.write(protocol.Watch())

    def _new_connection(self) -> FramedConnection:
        return FramedConnection(self, protocol.FROM_FEED, self.service.hello)

    def hello_received(self, connection: Any, hello: Any) -> None:
        """Handle the peer's hello; close the connection if the peer is not a feed."""
        self.connection = connection
        if hello.role != "feed":
            connection.close(f"a feed is expected here, not a {hello.role}")

    def message_received(self, connection: Any, message: protocol.ReleaseUpdate) -> None:
        """Pass the feed's update to the controller and acknowledge it."""
        for release in message.releases:
            self.post(
                ReleaseUpdated(release.function, release.version, ReleaseState(release.state))
            )
        connection.write(protocol.UpdateAcknowledged(message.revision))

    def connection_ended(self, connection: Any) -> None:
        """Handle the end of the connection, which lets `_follow_feed` reconnect."""
        if self.connection is connection:
            self.connection = None
        if not self._disconnected.done():
            self._disconnected.set_result(None)

    # ---- the operator
    def execute_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out an operator's command; return the response.

        Args:
            command: The command, with the keys `do` (`announce`, `show` or the value of an
                `OperatorAction`), `function` and, for `announce`, `version`.

        Raises:
            KeyError, TypeError, ValueError: A key is missing or its value has the wrong type.
        """
        verb = command["do"]
        if verb == "announce":
            self.post(ReleaseUpdated(str(command["function"]), int(command["version"])))
        elif verb in tuple(OperatorAction):
            versions = self.controller.functions.get(command["function"])
            if versions is None or versions.release is None:
                return {"error": f"no release of {command['function']} is known here"}
            self.post(OperatorCommand(command["function"], OperatorAction(verb)))
        elif verb != "show":
            return {"error": f"unknown command: {verb}"}
        self._save()
        function = command.get("function")
        return {
            "gateway": self.service.config.name,
            "releases": [
                row for row in self.controller.table() if function in (None, row["function"])
            ],
        }
