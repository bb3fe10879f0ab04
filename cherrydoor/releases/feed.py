"""The I/O around the rollout controller: release feed, state file, operator's socket."""

import asyncio
from pathlib import Path
from typing import Any

import structlog

from cherrydoor.connection import FramedConnection
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

TICK_S = 0.5  # between two looks of the controller at its timeouts
# Between requests for the whole feed: an update that was lost on the way is seen then. While half
# of the gateways call another version, hosts hold both.
RESYNC_S = 10.0
CONNECT_TIMEOUT_S = 5.0
FIRST_BACKOFF_S = 0.1  # before the feed is connected to again ...
BACKOFF_FACTOR = 1.5  # ... growing with each failure by this factor ...
LONGEST_BACKOFF_S = 2.0  # ... up to this

# What a state file of the wrong shape may raise when it is restored.
UNUSABLE_STATE = (OSError, ValueError, KeyError, TypeError, AttributeError)


class ReleaseService:
    """One gateway's rollouts on its event loop.

    It owns the connection to the feed, two tasks and the state file.

    Attributes:
        versions: The controller; the dispatcher asks it which version a request calls.
        end: The connection to the feed, None while there is none.
        tasks: What runs until `close`.
    """

    def __init__(self, service: Any, settings: dict[str, Any]) -> None:
        """Restore the state.

        Args:
            service: The gateway, for its clock, dispatcher, hello and configuration.
            settings: `releases` of the configuration: feed, saved, control.
        """
        self.service = service
        self._now_ms = service.clock.now
        self.versions = RolloutController(self._now_ms())
        self.end: Any = None
        self.tasks: list[asyncio.Task[None]] = []
        self._feed_address: str = settings["feed"]
        self._state_file = StateFile(Path(settings["saved"])) if settings["saved"] else None
        self._control: Any = None
        if settings["control"]:
            self._control = ControlSocket(settings["control"], self.execute_command)
        self._disconnected: asyncio.Future[None]
        self._restore()

    async def start(self) -> None:
        """Follow the feed, tick, and listen for the operator."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._follow_feed()),
            loop.create_task(self._tick_periodically()),
        ]
        if self._control:
            await self._control.start()

    def close(self) -> None:
        """Stop all of it and save the state."""
        for task in self.tasks:
            task.cancel()
        if self.end is not None:
            self.end.close()
        if self._control:
            self._control.close()
        self._save()

    # ---- decisions
    def post(self, message: Message) -> None:
        """Give the controller a message and carry out what it decides."""
        for action in self.versions.take(self._now_ms(), message):
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
            await asyncio.sleep(TICK_S)
            self.post(Tick())
            if self.end is not None and loop.time() - requested_at_s >= RESYNC_S:
                requested_at_s = loop.time()
                self.end.write(protocol.Watch())
            if self.versions.has_unsaved_changes:
                self._save()

    # ---- over a restart
    def _save(self) -> None:
        if self._state_file is None:
            return
        try:
            self._state_file.write(self.versions.stored())
        except OSError as error:
            log.warning(
                "release state cannot be saved",
                file=str(self._state_file.path),
                error=str(error),
            )

    def _restore(self) -> None:
        """Restore the state; a file that cannot be used is set aside.

        Then the versions before are called until the feed has been read.
        """
        if self._state_file is None or not self._state_file.exists():
            return
        try:
            self.versions.restore(self._state_file.read())
        except UNUSABLE_STATE as error:
            self.versions = RolloutController(self._now_ms())
            log.error(
                "release state cannot be read, file set aside",
                file=str(self._state_file.set_aside()),
                error=str(error),
            )

    # ---- the feed
    async def _follow_feed(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        unreachable_logged = False
        while True:
            try:
                await self._connect()
                backoff_s = FIRST_BACKOFF_S
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
            backoff_s = min(LONGEST_BACKOFF_S, backoff_s * BACKOFF_FACTOR)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self._feed_address.rpartition(":")
        self._disconnected = loop.create_future()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection: Any
            _, connection = await loop.create_connection(self._new_connection, host, int(port))
        connection.write(protocol.Watch())

    def _new_connection(self) -> FramedConnection:
        return FramedConnection(self, protocol.FROM_FEED, self.service.hello)

    def hello_received(self, end: Any, hello: Any) -> None:
        """The connection's peer has said who it is; one that is no feed is sent away."""
        self.end = end
        if hello.role != "feed":
            end.close(f"a feed is expected here, not a {hello.role}")

    def message_received(self, end: Any, message: protocol.ReleaseUpdate) -> None:
        """The feed has sent an update."""
        for release in message.releases:
            self.post(
                ReleaseUpdated(release.function, release.version, ReleaseState(release.state))
            )
        end.write(protocol.UpdateAcknowledged(message.revision))

    def connection_ended(self, end: Any) -> None:
        """The connection is closed."""
        if self.end is end:
            self.end = None
        if not self._disconnected.done():
            self._disconnected.set_result(None)

    # ---- the operator
    def execute_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out an operator's command; return the answer.

        Args:
            command: `do`: announce, show or an `OperatorAction`; `function`; `version` to announce.

        Raises:
            KeyError, TypeError, ValueError: A part of it is missing or has the wrong type.
        """
        what = command["do"]
        if what == "announce":
            self.post(ReleaseUpdated(str(command["function"]), int(command["version"])))
        elif what in tuple(OperatorAction):
            versions = self.versions.functions.get(command["function"])
            if versions is None or versions.release is None:
                return {"error": f"no release of {command['function']} is known here"}
            self.post(OperatorCommand(command["function"], OperatorAction(what)))
        elif what != "show":
            return {"error": f"unknown: {what}"}
        self._save()
        function = command.get("function")
        return {
            "gateway": self.service.config.name,
            "releases": [
                row for row in self.versions.table() if function in (None, row["function"])
            ],
        }
