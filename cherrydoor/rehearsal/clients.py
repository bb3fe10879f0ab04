"""Clients in an open loop: they send what was drawn when it is due, whatever became of the rest, and note what comes.

One process plays all clients of a day, with one connection to each gateway. Time counts from when an event was due;
how late it really went is noted with it, so that a reader can tell whether to believe the rest.
"""

import asyncio
import gc
from heapq import heappop, heappush
from zlib import crc32

from cherrydoor.fakes.command import emit, serve_commands
from cherrydoor.fakes.record import Record, now
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol
from cherrydoor.rehearsal.connection import Connection
from cherrydoor.rehearsal.traffic import draw_arrivals, function_name


class SentRequest:
    """One event as sent: the first try of it, or a repeat."""

    __slots__ = (
        "id",
        "first",
        "index",
        "due",
        "until",
        "deadline",
        "turn",
        "conn",
        "asks",
        "taker",
    )

    def __init__(self, number, first, index, due, deadline, turn):
        self.id, self.first, self.index, self.due = number, first, index, due
        self.deadline, self.turn, self.until, self.conn = deadline, turn, 0.0, None
        self.asks, self.taker = (
            number,
            ("", 0),
        )  # the id under which its answer is awaited; who took it, which life


class Clients:
    def __init__(self, day, doors, record, sources=None):
        self.day, self.record, self.loop = day, record, asyncio.get_running_loop()
        self.arrivals, self.events = draw_arrivals(day), day["events"]
        self.offices = [o["name"] for o in day["offices"]] or [""]
        sources = sources or {}
        self.connections = [
            [
                Connection(
                    self, i, address, office, sources.get(office, {"address": "", "keys": {}})
                )
                for office in (self.offices if sources else [""])
            ]
            for i, address in enumerate(doors)
        ]
        self.bodies = [b"b" * e["body"] for e in self.events]
        self.heap, self.serial, self.next, self.ids, self.ends = (
            [],
            0,
            0,
            0,
            self.loop.create_future(),
        )
        self.names = [f"g{i}" for i in range(len(doors))]
        self.begun, self.streams = 0.0, set()

    def chance(self, *what):
        return crc32(repr((self.day["seed"], *what)).encode()) / 2.0**32

    def go(self, at):
        """Starts the day at that time of the machine's monotonic clock."""
        self.begun = at
        self.record.add("begun", t=at)
        self.loop.call_later(max(0.0, at - now()) / 1000, self.tick)

    def later(self, at, what, *args):
        self.serial += 1
        heappush(self.heap, (at, self.serial, what, args))

    def tick(self):
        """Sends all that is due and ends what has run out, then waits for the next."""
        t, arrivals = now(), self.arrivals
        while True:
            due = self.begun + arrivals.at_ms[self.next] if self.next < arrivals.count else None
            alarm = self.heap[0][0] if self.heap else None
            if due is not None and due <= t and (alarm is None or due <= alarm):
                i, self.next = self.next, self.next + 1
                self.first(i, float(due))
            elif alarm is not None and alarm <= t:
                _, _, what, args = heappop(self.heap)
                what(*args)
            else:
                break
        upcoming = [x for x in (due, alarm) if x is not None]
        if upcoming:
            self.loop.call_later(max(0.0, min(upcoming) - now()) / 1000, self.tick)
        elif not self.ends.done():
            self.ends.set_result(None)

    def first(self, i, due):
        event = self.events[self.arrivals.request_class[i]]
        one = SentRequest(
            self.new_id(), i, 0, due, due + event["max_age"], self.arrivals.gateway[i]
        )
        self.send(one)

    def new_id(self):
        self.ids += 1
        return self.ids

    def send(self, one):
        i, a = one.first, self.arrivals
        event, t = self.events[a.request_class[i]], now()
        there = self.connections[int(one.turn) % len(self.connections)]
        conn = there[a.tenant[i]] if len(there) > 1 else there[0]
        lasts = min(event["max_age"] * a.patience[i], one.deadline - t)
        if lasts <= 1:
            return
        row = dict(
            peer=self.names[conn.number],
            id=one.id,
            event=one.id,
            number=one.index,
            function=function_name(a.function[i]),
            clause=event["name"],
            party=self.offices[a.tenant[i]],
            mark=f"m{i}",
            a=float(one.due),
            b=float(lasts),
            c=float(i),
        )
        if conn.end is None or conn.leaving:
            self.record.add("unreachable", t=t, **row)
            return self.again(one, "unreachable", 0.0)
        one.conn, one.until = conn, t + lasts
        conn.open[one.id] = one
        self.record.add("sent", t=t, text="extra" if a.extra[i] else "", **row)
        conn.end.write(
            protocol.Request(
                one.id,
                event["name"],
                row["function"],
                lasts,
                t,
                row["party"],
                row["mark"],
                self.lanes(a.function[i]),
                self.load(a.function[i]),
                self.bodies[a.request_class[i]],
                claim_key=f"{self.chance('key', one.id):.17f}",
                affinity_key=self.document(a.function[i], i),
            )
        )
        one.taker = conn.name, conn.incarnation
        self.later(one.until, self.gave_up, one)
        if a.withdraw_after_ms[i] and one.index == 0:
            self.later(t + float(a.withdraw_after_ms[i]), self.withdraw, one)

    def document(self, function, i):
        """A session calls one function: so many of them for each."""
        count = self.day["clients"].get("documents", 0)
        return f"{function_name(function)}/{i % count}" if count else ""

    def lanes(self, function):
        lanes = self.day["functions"]["lanes"]
        return float(lanes[crc32(f"lanes/{function_name(function)}".encode()) % len(lanes)])

    def load(self, function):
        least, most = self.day["functions"]["load"]
        return (least + most) / 2

    def close(self, one):
        conn, one.conn = one.conn, None
        conn.open.pop(one.asks, None)
        return self.names[conn.number]

    def answered(self, conn, answer):
        one = conn.open.get(answer.id)
        self.record.add(
            "answer",
            peer=self.names[conn.number],
            id=answer.id,
            event=one.id if one else answer.id,
            fate=answer.outcome,
            a=answer.retry_after_ms,
            number=int(one is not None),
            text=answer.reason,
            clause="claimed" if one is not None and one.asks != one.id else "",
        )
        if one is None:
            return
        self.close(one)
        self.streams.discard(one.id)
        if answer.outcome != "handled":
            self.again(one, answer.outcome, answer.retry_after_ms)

    def started(self, conn, message):
        self.record.add("started", peer=self.names[conn.number], id=message.id, event=message.id)
        self.streams.add(message.id)

    def gave_up(self, one):
        if one.conn is None or one.id in self.streams:
            return
        conn = one.conn
        self.record.add("gave up", peer=self.close(one), id=one.id, event=one.id)
        if conn.end and one.asks == one.id:
            conn.end.write(protocol.CancelRequest(one.id))
        self.again(one, "gave up", 0.0)

    def withdraw(self, one):
        if one.conn is not None:
            conn = one.conn
            self.record.add("withdrew", peer=self.close(one), id=one.id, event=one.id)
            if conn.end and one.asks == one.id:
                conn.end.write(protocol.CancelRequest(one.id))

    def cut(self, conn, one):
        self.record.add("cut", peer=self.close(one), id=one.id, event=one.id)
        if not self.reclaim(one):
            self.again(one, "cut", 0.0)

    def reclaim(self, one):
        """Claims the answer at another gateway, where work in hand outlives its own; False where nobody is there."""
        t, doors = now(), [door[0] for door in self.connections]
        there = [
            conn
            for conn in doors
            if conn.end is not None and not conn.leaving and conn.name != one.taker[0]
        ]
        if not one.taker[1] or not there or one.until - t < 60.0:
            return False
        conn = there[int(self.chance("claim", one.id, one.asks) * len(there))]
        one.asks, one.conn = self.new_id(), conn
        conn.open[one.asks] = one
        self.record.add(
            "claims", peer=self.names[conn.number], id=one.asks, event=one.id, text=one.taker[0]
        )
        conn.end.write(
            custody.ClaimResponse(
                one.asks,
                one.taker[0],
                one.taker[1],
                one.id,
                f"{self.chance('key', one.id):.17f}",
                one.until - t,
                t,
            )
        )
        return True

    def unknown(self, conn, message):
        """Nobody knows of it: it may have run or not."""
        one = conn.open.get(message.id)
        if one is not None:
            self.record.add(
                "not known", peer=self.close(one), id=one.id, event=one.id, text=message.reason
            )
            self.again(one, "cut", 0.0)

    def again(self, one, why, stay):
        """Repeats what may be repeated: redeliverable ones after any failure, keyed ones within the memory of a group
        that is all, others only where the answer says that it is harmless."""
        event, clients, t = (
            self.events[self.arrivals.request_class[one.first]],
            self.day["clients"],
            now(),
        )
        harmless = (
            why in ("deferred", "unreachable")
            or event["kind"] == "redeliverable"
            or (
                event["kind"] == "keyed"
                and event["group"] == "all"
                and t - one.due < 0.8 * event["memory"]
            )
        )
        if one.index >= clients["retries"] or not harmless:
            return
        wait = clients["wait"] * 2**one.index * (0.5 + self.chance("wait", one.id))
        if why == "deferred" and self.chance("heed", one.first) < clients["heed"]:
            wait = max(wait, stay)
        if t + wait < one.deadline - 50:
            # a repeat goes to another gateway where this one was out of reach
            turn = one.turn + (1 if why in ("unreachable", "cut") else 0)
            self.later(
                t + wait,
                self.send,
                SentRequest(self.new_id(), one.first, one.index + 1, one.due, one.deadline, turn),
            )


async def play(said):
    record = Record(said["record"], "client", "clients")
    clients = Clients(said["day"], said["doors"], record, said.get("comes"))
    tasks = [
        asyncio.get_running_loop().create_task(one.keep())
        for door in clients.connections
        for one in door
    ]
    while any(one.end is None for door in clients.connections for one in door):
        await asyncio.sleep(0.02)
    gc.collect()
    gc.freeze()
    emit("ready", events=clients.arrivals.count)

    def handle_command(name, values):
        if name == "go":
            clients.go(values["at"])
        elif name == "count":
            return clients.next
        else:
            raise ValueError(f"unknown: {name}")

    def over(_):
        record.flush()
        emit("over", sent=clients.ids)

    clients.ends.add_done_callback(over)
    await serve_commands(handle_command)
    for task in tasks:
        task.cancel()
    record.close()
