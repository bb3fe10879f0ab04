"""Open-loop clients: they send each drawn request when it is due, whatever became of earlier ones.

One process plays all clients of a scenario. It has one connection to each gateway, or one per
office to each gateway if the scenario has known clients. Latency counts from the time a request was
due. The record also tells when it was really sent, so that a reader can judge whether the clients
kept up.
"""

import asyncio
import gc
from heapq import heappop, heappush
from zlib import crc32

from cherrydoor.fakes.command import emit, serve_commands
from cherrydoor.fakes.record import Record, now
from cherrydoor.protocol import failover
from cherrydoor.protocol import messages as protocol
from cherrydoor.rehearsal.connection import Connection
from cherrydoor.rehearsal.traffic import draw_arrivals, function_name


class SentRequest:
    """One attempt of a client's request. Times are ms on the record's clock.

    Attributes:
        id: The attempt's id on the wire.
        arrival: Index of the arrival that it belongs to.
        attempt: 0 for the first attempt, 1 for the first retry, and so on.
        due_ms: When the arrival was due.
        attempt_deadline_ms: When the client gives this attempt up.
        deadline_ms: When the request reaches its maximum age.
        gateway: Number of the gateway it goes to, modulo the number of gateways.
        connection: The connection on which a response is awaited, None if none is.
        awaited_id: Id under which the response is awaited: the attempt's own or a claim's.
        owner: Name and incarnation of the gateway that the attempt was sent to.
    """

    __slots__ = (
        "id",
        "arrival",
        "attempt",
        "due_ms",
        "attempt_deadline_ms",
        "deadline_ms",
        "gateway",
        "connection",
        "awaited_id",
        "owner",
    )

    def __init__(self, request_id, arrival, attempt, due_ms, deadline_ms, gateway):
        self.id, self.arrival, self.attempt, self.due_ms = request_id, arrival, attempt, due_ms
        self.deadline_ms, self.gateway, self.attempt_deadline_ms, self.connection = (
            deadline_ms,
            gateway,
            0.0,
            None,
        )
        self.awaited_id, self.owner = request_id, ("", 0)


class Clients:
    """All clients of a scenario.

    `sources` has each office's source address and key files by name; without it clients are
    unknown.
    """

    def __init__(self, day, addresses, record, sources=None):
        self.day, self.record, self.loop = day, record, asyncio.get_running_loop()
        self.arrivals, self.events = draw_arrivals(day), day["events"]
        self.offices = [office["name"] for office in day["offices"]] or [""]
        sources = sources or {}
        self.connections = [
            [
                Connection(
                    self, gateway, address, office, sources.get(office, {"address": "", "keys": {}})
                )
                for office in (self.offices if sources else [""])
            ]
            for gateway, address in enumerate(addresses)
        ]
        self.bodies = [b"b" * event["body"] for event in self.events]
        self.timers, self.last_timer, self.next_arrival, self.last_id, self.finished = (
            [],
            0,
            0,
            0,
            self.loop.create_future(),
        )
        self.gateway_names = [f"g{gateway}" for gateway in range(len(addresses))]
        self.started_ms, self.streams = 0.0, set()

    def random_for(self, *key):
        """Returns a number from 0 to 1 that depends on the seed and the key alone."""
        return crc32(repr((self.day["seed"], *key)).encode()) / 2.0**32

    def go(self, start_ms):
        """Starts the scenario at that time of the machine's monotonic clock, ms."""
        self.started_ms = start_ms
        self.record.add("begun", t=start_ms)
        self.loop.call_later(max(0.0, start_ms - now()) / 1000, self.tick)

    def schedule(self, at_ms, callback, *arguments):
        self.last_timer += 1
        heappush(self.timers, (at_ms, self.last_timer, callback, arguments))

    def tick(self):
        """Sends the requests and runs the timers that are due, then schedules the next tick."""
        now_ms, arrivals = now(), self.arrivals
        while True:
            arrival_ms = (
                self.started_ms + arrivals.at_ms[self.next_arrival]
                if self.next_arrival < arrivals.count
                else None
            )
            timer_ms = self.timers[0][0] if self.timers else None
            if (
                arrival_ms is not None
                and arrival_ms <= now_ms
                and (timer_ms is None or arrival_ms <= timer_ms)
            ):
                arrival, self.next_arrival = self.next_arrival, self.next_arrival + 1
                self.send_first(arrival, float(arrival_ms))
            elif timer_ms is not None and timer_ms <= now_ms:
                _, _, callback, arguments = heappop(self.timers)
                callback(*arguments)
            else:
                break
        upcoming = [time_ms for time_ms in (arrival_ms, timer_ms) if time_ms is not None]
        if upcoming:
            self.loop.call_later(max(0.0, min(upcoming) - now()) / 1000, self.tick)
        elif not self.finished.done():
            self.finished.set_result(None)

    def send_first(self, arrival, due_ms):
        event = self.events[self.arrivals.request_class[arrival]]
        request = SentRequest(
            self.new_id(),
            arrival,
            0,
            due_ms,
            due_ms + event["max_age"],
            self.arrivals.gateway[arrival],
        )
        self.send(request)

    def new_id(self):
        self.last_id += 1
        return self.last_id

    def send(self, request):
        arrival, arrivals = request.arrival, self.arrivals
        event, now_ms = self.events[arrivals.request_class[arrival]], now()
        connections = self.connections[int(request.gateway) % len(self.connections)]
        connection = (
            connections[arrivals.tenant[arrival]] if len(connections) > 1 else connections[0]
        )
        remaining_ms = min(
            event["max_age"] * arrivals.patience[arrival], request.deadline_ms - now_ms
        )
        if remaining_ms <= 1:
            return
        row = dict(
            peer=self.gateway_names[connection.gateway],
            id=request.id,
            event=request.id,
            number=request.attempt,
            function=function_name(arrivals.function[arrival]),
            clause=event["name"],
            party=self.offices[arrivals.tenant[arrival]],
            mark=f"m{arrival}",
            a=float(request.due_ms),
            b=float(remaining_ms),
            c=float(arrival),
        )
        if connection.framed_connection is None or connection.draining:
            self.record.add("unreachable", t=now_ms, **row)
            return self.retry(request, "unreachable", 0.0)
        request.connection, request.attempt_deadline_ms = connection, now_ms + remaining_ms
        connection.pending[request.id] = request
        self.record.add("sent", t=now_ms, text="extra" if arrivals.extra[arrival] else "", **row)
        connection.framed_connection.write(
            protocol.Request(
                request.id,
                event["name"],
                row["function"],
                remaining_ms,
                now_ms,
                row["party"],
                row["mark"],
                self.concurrency(arrivals.function[arrival]),
                self.mean_load_ms(arrivals.function[arrival]),
                self.bodies[arrivals.request_class[arrival]],
                claim_key=f"{self.random_for('key', request.id):.17f}",
                affinity_key=self.affinity_key(arrivals.function[arrival], arrival),
            )
        )
        request.owner = connection.name, connection.incarnation
        self.schedule(request.attempt_deadline_ms, self.attempt_timed_out, request)
        if arrivals.withdraw_after_ms[arrival] and request.attempt == 0:
            self.schedule(
                now_ms + float(arrivals.withdraw_after_ms[arrival]), self.withdraw, request
            )

    def affinity_key(self, function, arrival):
        """Returns the session's key. `documents` is the number of sessions of each function."""
        count = self.day["clients"].get("documents", 0)
        return f"{function_name(function)}/{arrival % count}" if count else ""

    def concurrency(self, function):
        lanes = self.day["functions"]["lanes"]
        return float(lanes[crc32(f"lanes/{function_name(function)}".encode()) % len(lanes)])

    def mean_load_ms(self, function):
        shortest_ms, longest_ms = self.day["functions"]["load"]
        return (shortest_ms + longest_ms) / 2

    def close_attempt(self, request):
        connection, request.connection = request.connection, None
        connection.pending.pop(request.awaited_id, None)
        return self.gateway_names[connection.gateway]

    def response_received(self, connection, response):
        request = connection.pending.get(response.id)
        self.record.add(
            "answer",
            peer=self.gateway_names[connection.gateway],
            id=response.id,
            event=request.id if request else response.id,
            fate=response.outcome,
            a=response.retry_after_ms,
            number=int(request is not None),
            text=response.reason,
            clause="claimed" if request is not None and request.awaited_id != request.id else "",
        )
        if request is None:
            return
        self.close_attempt(request)
        self.streams.discard(request.id)
        if response.outcome != "handled":
            self.retry(request, response.outcome, response.retry_after_ms)

    def stream_started(self, connection, message):
        self.record.add(
            "started", peer=self.gateway_names[connection.gateway], id=message.id, event=message.id
        )
        self.streams.add(message.id)

    def attempt_timed_out(self, request):
        if request.connection is None or request.id in self.streams:
            return
        connection = request.connection
        self.record.add(
            "gave up", peer=self.close_attempt(request), id=request.id, event=request.id
        )
        if connection.framed_connection and request.awaited_id == request.id:
            connection.framed_connection.write(protocol.CancelRequest(request.id))
        self.retry(request, "gave up", 0.0)

    def withdraw(self, request):
        if request.connection is not None:
            connection = request.connection
            self.record.add(
                "withdrew", peer=self.close_attempt(request), id=request.id, event=request.id
            )
            if connection.framed_connection and request.awaited_id == request.id:
                connection.framed_connection.write(protocol.CancelRequest(request.id))

    def connection_lost(self, connection, request):
        self.record.add("cut", peer=self.close_attempt(request), id=request.id, event=request.id)
        if not self.claim_response(request):
            self.retry(request, "cut", 0.0)

    def claim_response(self, request):
        """Claims the response at another gateway, which may have taken over the request.

        Returns False if there is nothing to claim with: the gateway does not replicate requests in
        flight, no other gateway is connected, or less than 60 ms remain.
        """
        now_ms, first_connections = now(), [connections[0] for connections in self.connections]
        candidates = [
            connection
            for connection in first_connections
            if connection.framed_connection is not None
            and not connection.draining
            and connection.name != request.owner[0]
        ]
        if not request.owner[1] or not candidates or request.attempt_deadline_ms - now_ms < 60.0:
            return False
        connection = candidates[
            int(self.random_for("claim", request.id, request.awaited_id) * len(candidates))
        ]
        request.awaited_id, request.connection = self.new_id(), connection
        connection.pending[request.awaited_id] = request
        self.record.add(
            "claims",
            peer=self.gateway_names[connection.gateway],
            id=request.awaited_id,
            event=request.id,
            text=request.owner[0],
        )
        connection.framed_connection.write(
            failover.ClaimResponse(
                request.awaited_id,
                request.owner[0],
                request.owner[1],
                request.id,
                f"{self.random_for('key', request.id):.17f}",
                request.attempt_deadline_ms - now_ms,
                now_ms,
            )
        )
        return True

    def response_unknown(self, connection, message):
        """Retries a request whose response can't be claimed. It may have been run or not."""
        request = connection.pending.get(message.id)
        if request is not None:
            self.record.add(
                "not known",
                peer=self.close_attempt(request),
                id=request.id,
                event=request.id,
                text=message.reason,
            )
            self.retry(request, "cut", 0.0)

    def retry(self, request, reason, retry_after_ms):
        """Schedules a retry if the request may be repeated and has retries and time left.

        A redeliverable request may be repeated after any failure. A keyed one may be repeated while
        its idempotency key is remembered, if all hosts form one deduplication group. Any other may
        be repeated only if it certainly did not run, i.e. was deferred or could not be sent.
        """
        event, clients, now_ms = (
            self.events[self.arrivals.request_class[request.arrival]],
            self.day["clients"],
            now(),
        )
        may_repeat = (
            reason in ("deferred", "unreachable")
            or event["kind"] == "redeliverable"
            or (
                event["kind"] == "keyed"
                and event["group"] == "all"
                and now_ms - request.due_ms < 0.8 * event["memory"]
            )
        )
        if request.attempt >= clients["retries"] or not may_repeat:
            return
        delay_ms = (
            clients["wait"] * 2**request.attempt * (0.5 + self.random_for("wait", request.id))
        )
        if reason == "deferred" and self.random_for("heed", request.arrival) < clients["heed"]:
            delay_ms = max(delay_ms, retry_after_ms)
        if now_ms + delay_ms < request.deadline_ms - 50:
            # The retry goes to another gateway if this one could not be reached.
            gateway = request.gateway + (1 if reason in ("unreachable", "cut") else 0)
            self.schedule(
                now_ms + delay_ms,
                self.send,
                SentRequest(
                    self.new_id(),
                    request.arrival,
                    request.attempt + 1,
                    request.due_ms,
                    request.deadline_ms,
                    gateway,
                ),
            )


async def play(settings):
    record = Record(settings["record"], "client", "clients")
    clients = Clients(settings["day"], settings["doors"], record, settings.get("comes"))
    tasks = [
        asyncio.get_running_loop().create_task(connection.maintain())
        for connections in clients.connections
        for connection in connections
    ]
    while any(
        connection.framed_connection is None
        for connections in clients.connections
        for connection in connections
    ):
        await asyncio.sleep(0.02)
    gc.collect()
    gc.freeze()
    emit("ready", events=clients.arrivals.count)

    def handle_command(command, values):
        if command == "go":
            clients.go(values["at"])
        elif command == "count":
            return clients.next_arrival
        else:
            raise ValueError(f"unknown client command {command!r}; expected go or count")

    def finish(_):
        record.flush()
        emit("over", sent=clients.last_id)

    clients.finished.add_done_callback(finish)
    await serve_commands(handle_command)
    for task in tasks:
        task.cancel()
    record.close()
