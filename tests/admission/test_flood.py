"""Floods on real sockets: what is judged is what the known clients and the flood itself get."""

import asyncio
import json
import os
import resource
import socket
import struct
import sys

from stack import Host, environment, now, story
from test_process import Daemon, Ended, given, with_folder

from cherrydoor.admission.messages import UsageMeasured
from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

DROPS = (
    55,
    8,
)  # SO_MEMINFO, and where in it stands how many connections the kernel dropped at the door
HARBOUR = (
    'admission: {known: [{name: "harbour", places: 20, most: 30, addresses: ["127.200.0.0/16"]}]}\n'
)


async def few_descriptors(stack, lease, most=256):
    """The daemon with so many descriptors."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cherrydoor",
        "gateway",
        "--lease",
        str(lease),
        "--announce",
        "--tied",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment(),
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)),
    )
    stack.opened.append(Ended(process))
    daemon = Daemon(process, [])
    daemon.port = json.loads(await process.stdout.readline())["port"]
    await stack.list.got(protocol.UpdateAcknowledged)
    return daemon


class Flood:
    """Raw connections from many addresses of loopback, again and again: some say nothing, some half a hello, some a
    whole one. It goes on until stopped. With `crowd` as many as that, and no more, wait all the time to be accepted: it
    is then no slower than the door and leaves room in the kernel's queue, however fast either of them is."""

    def __init__(self, port, wide=300, crowd=None):
        self.port, self.wide, self.crowd, self.sockets = port, wide, crowd, []
        self.opened, self.told, self.taken = 0, 0, 0
        self.task = asyncio.get_running_loop().create_task(self.pour())

    def waiting(self):
        """How many wait to be accepted: they are in turn, and who is accepted hears a hello or a fault."""
        gone = self.opened - len(self.sockets)
        self.taken = max(self.taken, gone)
        while self.taken < self.opened:
            try:
                self.sockets[self.taken - gone][0].recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                break
            except OSError:
                pass
            self.taken += 1
        return self.opened - self.taken

    async def pour(self):
        hello = codec.encode(protocol.Hello(protocol.VERSION, "client", "x", now()))
        while True:
            before = self.opened
            for _ in range(20 if self.crowd is None else min(100, self.crowd - self.waiting())):
                one = socket.socket()
                one.setblocking(False)
                one.bind((f"127.{1 + self.opened % 100}.{self.opened % self.wide % 250}.7", 0))
                try:
                    one.connect(("127.0.0.1", self.port))
                except BlockingIOError:
                    pass
                except OSError:
                    one.close()
                    continue
                self.sockets.append((one, (b"", hello[:9], hello)[self.opened % 3]))
                self.opened += 1
            await asyncio.sleep(0.002)
            for one, said in self.sockets[len(self.sockets) - self.opened + before :]:
                try:
                    one.send(said)
                except OSError:
                    pass
            while len(self.sockets) > 1500:
                old, _ = self.sockets.pop(0)
                try:
                    self.told += b"fault" in old.recv(4096)
                except OSError:
                    pass
                old.close()

    def stop(self):
        self.task.cancel()
        for one, _ in self.sockets:
            one.close()

    async def beyond(self, count):
        until = self.opened + count
        while self.opened < until:
            assert not self.task.done()
            await asyncio.sleep(0.005)


async def known(stack, port, name="127.200.0.1"):
    """A client from that address, or None where it was not let in."""
    from stack import Client

    client = Client()
    client.shut = asyncio.get_running_loop().create_future()
    try:
        _, client.end = await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(
                client,
                protocol.TO_CLIENT,
                lambda: protocol.Hello(protocol.VERSION, "client", "harbour", now()),
            ),
            "127.0.0.1",
            port,
            local_addr=(name, 0),
        )
    except OSError:
        return None
    await client.until(lambda: client.ends or client.lost_ends)
    stack.opened.append(client)
    return client


@with_folder
async def test_a_flood_up_to_the_descriptor_limit_keeps_no_known_client_out(stack, tmp):
    hosts = [Host("handled") for _ in range(4)]
    daemon = await few_descriptors(
        stack, await given(stack, tmp, *hosts, more="bounds: {}\n" + HARBOUR)
    )
    flood = Flood(daemon.port)
    await flood.beyond(1600)
    clients = []
    for i in range(20):
        await flood.beyond(40)
        clients.append(await known(stack, daemon.port))
        client = clients[-1]
        answer = await client.answer(client.send(f"deed {i}", lasts=4000.0))
        assert answer.outcome == "handled"
    assert not any(c.lost_ends for c in clients), "each of them keeps its place"
    flood.stop()
    assert flood.told > 0, "the flood is told why"
    daemon.process.send_signal(15)
    code, errors = await daemon.end()
    assert code == 0 and "Traceback" not in errors


@with_folder
async def test_a_known_client_comes_back_with_all_its_connections_while_the_flood_goes_on(
    stack, tmp
):
    daemon = await few_descriptors(
        stack, await given(stack, tmp, Host("handled"), more="bounds: {}\n" + HARBOUR)
    )
    flood = Flood(daemon.port)
    await flood.beyond(800)
    for _ in range(3):
        clients = await asyncio.gather(*(known(stack, daemon.port) for _ in range(20)))
        for number, client in [
            (client.send(f"deed {i}"), client) for i, client in enumerate(clients)
        ]:
            assert (await client.answer(number)).outcome == "handled"
        for client in clients:
            client.end.abort()
    flood.stop()


@with_folder
async def test_a_host_connection_is_had_when_descriptors_are_gone(stack, tmp):
    late = Host("handled")
    daemon = await few_descriptors(
        stack, await given(stack, tmp, late, more="bounds: {}\n" + HARBOUR)
    )
    strangers = [await known(stack, daemon.port, f"127.{i}.0.1") for i in range(1, 9)]
    client = await known(stack, daemon.port)
    held = {int(name) for name in os.listdir(f"/proc/{daemon.process.pid}/fd")}
    gone = next(
        n for n in range(1000) if n not in held
    )  # no descriptor from here on, and none is free below
    resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, (gone, gone))
    assert (await client.answer(client.send("deed", lasts=4500.0))).outcome == "handled"
    assert late.all(protocol.Attempt) and not client.lost_ends
    daemon.process.send_signal(15)
    code, errors = await daemon.end()
    assert (
        code == 0
        and "descriptors have run out" in errors
        and any(one.lost_ends for one in strangers)
    )


@story
async def test_a_hello_a_byte_at_a_time_and_a_frame_that_never_ends(stack):
    quick = "bounds: {}\nadmission: {hello: 300ms, unfinished: 300ms}"
    client = await stack.start(Host("handled"), bounds=quick)
    loop = asyncio.get_running_loop()
    hello = codec.encode(protocol.Hello(protocol.VERSION, "client", "slow", now()))
    for first, rest in (
        (b"", hello),
        (hello, codec.encode(protocol.Request(1, "draft", "f", 400.0, now(), body=b"b" * 99))),
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", stack.service.port)
        writer.write(first)

        async def drip(writer=writer, rest=rest):
            for i in range(len(rest) - 1):
                writer.write(rest[i : i + 1])
                await asyncio.sleep(0.05)

        task = loop.create_task(drip())
        told = await asyncio.wait_for(reader.read(), 20)
        assert b"in time" in told
        task.cancel()
        writer.close()
    assert (await client.answer(client.send())).outcome == "handled"
    assert not stack.service.listeners.controller.pending.unidentified


@story
async def test_events_poured_on_one_connection_leave_the_others_their_target_time(stack):
    from stack import Client

    quiet = await stack.start(Host("handled"), Host("handled"))
    pourer = await Client().connect(stack.service.port)
    stack.opened.append(pourer)
    flow = stack.service.listeners.controller.fair_reading
    stack.service.listeners.uses.measure = lambda: UsageMeasured(0.0, 0.0, 1.0)  # the core is short
    sent = []
    while not stack.service.listeners.controller.counters.get("read quota exceeded"):
        sent += [pourer.send(f"deed {i % 7}", lasts=5000.0) for i in range(20)]
        await asyncio.sleep(0.002)
    assert flow.level is not None
    sent += [pourer.send(f"deed {i % 7}", lasts=5000.0) for i in range(200)]
    one = quiet.send("deed 1", lasts=5000.0)
    assert (await quiet.answer(one)).outcome == "handled"
    assert len(pourer.all(protocol.Response)) < len(sent), (
        "the quiet one was answered while the other still waited to be read"
    )
    for number in sent:
        await pourer.answer(number)
    assert len(pourer.all(protocol.Response)) == len(sent), (
        "each is answered once, none is lost by the waiting"
    )


@story
async def test_five_hundred_connections_of_a_known_client_come_back_at_once(stack):
    known_part = (
        "bounds: {connections: 700}\n"
        'admission: {known: [{name: "harbour", places: 500, addresses: ["127.200.0.0/16"]}]}'
    )
    await stack.start(Host("handled"), bounds=known_part, plain=False)
    crowd = 400  # with five hundred beside them all find room in the kernel's queue
    flood, seats = (
        Flood(stack.service.port, crowd=crowd),
        stack.service.listeners.controller.known_clients.by_name["harbour"].admitted,
    )
    await flood.beyond(2 * crowd)
    for _ in range(2):
        assert flood.waiting() > crowd // 2, "the known ones come behind a crowd"
        clients = await asyncio.gather(*(known(stack, stack.service.port) for _ in range(500)))
        assert len(seats) == 500 and not any(client.lost_ends for client in clients)
        sent = [
            (client, client.send(f"deed {i % 20}", lasts=4900.0))
            for i, client in enumerate(clients[:50])
        ]
        for client, number in sent:
            assert (await client.answer(number)).outcome in ("handled", "deferred")
        await flood.beyond(crowd)
        assert not any(client.lost_ends for client in clients)
        for client in clients:
            client.end.abort()
    flood.stop()
    option, at = DROPS
    door = stack.service.listeners.listeners[0].sock
    dropped = struct.unpack_from("I", door.getsockopt(socket.SOL_SOCKET, option, 64), 4 * at)[0]
    assert dropped == 0, "what the kernel drops, no gateway can let in: the flood is to leave room"


@story
async def test_a_known_client_that_misbehaves_harms_no_other(stack):
    two = (
        'bounds: {connections: 60}\nadmission: {known: [{name: "harbour", places: 20, addresses: ["127.200.0.0/16"]}'
        ', {name: "meadow", places: 20, addresses: ["127.201.0.0/16"]}]}'
    )
    await stack.start(Host("handled"), bounds=two, plain=False)
    greedy = [
        client
        for client in await asyncio.gather(*(known(stack, stack.service.port) for _ in range(200)))
        if client is not None
    ]
    seats = stack.service.listeners.controller.known_clients.by_name
    assert len(seats["harbour"].admitted) == 40, "its own places and the common ones"
    meadow = await asyncio.gather(
        *(known(stack, stack.service.port, "127.201.0.1") for _ in range(20))
    )
    for client in greedy[:3]:
        for i in range(100):
            client.send(f"deed {i}", lasts=4900.0)
    for client in meadow:
        assert (await client.answer(client.send("deed 1", lasts=4900.0))).outcome in (
            "handled",
            "deferred",
        )
    assert len(seats["meadow"].admitted) == 20 and not any(client.lost_ends for client in meadow)
