"""The daemon as a process: how it starts, what signals do to it, and what a crash leaves behind."""

import asyncio
import json
import signal
import sys

from stack import LEASE, Host, Listing, environment, now, story

from cherrydoor.protocol import messages as protocol


class Daemon:
    def __init__(self, process, errors):
        self.process, self.errors = process, errors

    @classmethod
    async def start(cls, stack, lease):
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
        )
        stack.opened.append(Ended(process))
        daemon = cls(process, [])
        line = await process.stdout.readline()
        daemon.port = json.loads(line)["port"] if line else None
        return daemon

    async def end(self):
        """Exit code and what was logged."""
        _, errors = await self.process.communicate()
        return self.process.returncode, errors.decode()


class Ended:
    """So that a test which fails leaves no process."""

    server = None

    def __init__(self, process):
        self.process = process

    @property
    def ends(self):
        if self.process.returncode is None:
            self.process.kill()
        return ()


async def given(stack, tmp, *hosts, more="", port=0):
    """A list, hosts on it, and a lease file of a gateway that follows them."""
    stack.list = await Listing().start()
    stack.opened.append(stack.list)
    for host in hosts:
        await stack.host(host, tell=False)
    stack.list.rows = {h.id: protocol.Endpoint(h.id, "ready", 0.0, "z", 0) for h in hosts}
    lease = tmp / "g.lease"
    lease.write_text(
        LEASE % stack.list.port + f'saved: "{tmp}/saved"\ndoor: "127.0.0.1:{port}"\n'
        "may: {launches: 3, recall: true, probe: true, advice: 1s}\ncold: {}\nration: {}\n"
        + (more or "bounds: {}")
    )
    return lease


async def client_of(stack, port):
    from stack import Client

    await stack.list.got(protocol.UpdateAcknowledged)  # before it knows a host, it defers
    client = await Client().connect(port)
    stack.opened.append(client)
    return client


def with_folder(test):
    def run(tmp_path):
        story(lambda stack: test(stack, tmp_path))()

    run.__name__ = test.__name__
    return run


def test_a_wrong_lease_is_told_whole(tmp_path):
    import subprocess

    bad = tmp_path / "bad.lease"
    bad.write_text('name: "g"\nnumber: 3\ngateways: 2\nlist: "nowhere"\nclauses: []\n')
    done = subprocess.run(
        [sys.executable, "-m", "cherrydoor", "gateway", "--lease", str(bad)],
        capture_output=True,
        text=True,
        env=environment(),
        timeout=60,
    )
    assert done.returncode == 64 and "clauses" in done.stderr and "Traceback" not in done.stderr
    bad.write_text(
        'name: "g"\nnumber: 3\ngateways: 2\nlist: "nowhere"\n\n'
        'clauses: [{name: "a", target: 2s, max_age: 1s}]\n'
        "cold: {}\nration: {}\nmay: {}\nbounds: {}\n"
    )
    done = subprocess.run(
        [sys.executable, "-m", "cherrydoor", "lease", "check", str(bad), "--json"],
        capture_output=True,
        text=True,
        env=environment(),
        timeout=60,
    )
    assert done.returncode == 64
    assert {p["path"] for p in json.loads(done.stdout)} == {"list", "number", "clauses.0.target"}


@with_folder
async def test_a_port_that_is_taken(stack, tmp):
    pending = await Host().start()
    stack.opened.append(pending)
    lease = await given(stack, tmp, port=int(pending.id.rpartition(":")[2]))
    code, errors = await (await Daemon.start(stack, lease)).end()
    assert code == 69 and "listener port already in use" in errors


@with_folder
async def test_sigterm_answers_all_it_holds_and_exits_with_0(stack, tmp):
    host = Host()
    daemon = await Daemon.start(stack, await given(stack, tmp, host))
    client = await client_of(stack, daemon.port)
    await stack.list.got(protocol.UpdateAcknowledged)
    numbers = [client.send(f"deed {i}", lasts=4500.0) for i in range(2)]
    launches = await host.got(protocol.Attempt, 2)
    daemon.process.send_signal(signal.SIGTERM)
    await client.got(protocol.Draining)
    refused = await client.answer(client.send(lasts=4500.0))
    assert refused.outcome == "deferred" and "leaving" in refused.reason
    for launch in launches:
        host.outcome(launch)
    assert [(await client.answer(n)).outcome for n in numbers] == ["handled", "handled"]
    code, _ = await daemon.end()
    assert code == 0 and len(host.all(protocol.Attempt)) == 2


@with_folder
async def test_a_second_sigterm_ends_it_at_once(stack, tmp):
    host = Host()
    daemon = await Daemon.start(stack, await given(stack, tmp, host))
    client = await client_of(stack, daemon.port)
    await stack.list.got(protocol.UpdateAcknowledged)
    client.send(lasts=4500.0)
    await host.got(protocol.Attempt)
    daemon.process.send_signal(signal.SIGTERM)
    await client.got(protocol.Draining)
    daemon.process.send_signal(signal.SIGTERM)
    code, errors = await daemon.end()
    assert code == 3 and "drain timed out" in errors


@with_folder
async def test_killed_under_load_it_starts_again_with_only_its_last_list(stack, tmp):
    host = Host()
    lease = await given(stack, tmp, host)
    daemon = await Daemon.start(stack, lease)
    client = await client_of(stack, daemon.port)
    client.send(lasts=4500.0)
    await host.got(protocol.Attempt)
    while not (tmp / "saved").exists():
        await asyncio.sleep(0.01)
    daemon.process.kill()
    await client.until(lambda: client.lost_ends)
    await host.until(lambda: host.lost_ends)
    stack.list.server.close()
    for end in stack.list.ends:
        end.abort()
    host.answers = "handled"
    again = await Daemon.start(stack, lease)
    second = await client_of(stack, again.port)
    assert (await second.answer(second.send(lasts=4500.0))).outcome == "handled"
    again.process.send_signal(signal.SIGTERM)
    code, errors = await again.end()
    assert code == 0 and "endpoint list unreachable" in errors


@with_folder
async def test_stopped_for_a_while_it_wakes_to_a_backlog(stack, tmp):
    host = Host("handled")
    daemon = await Daemon.start(stack, await given(stack, tmp, host))
    client = await client_of(stack, daemon.port)
    await client.answer(client.send(lasts=4500.0))
    daemon.process.send_signal(signal.SIGSTOP)
    begun = now()
    short = [client.send(f"deed {i}", lasts=300.0) for i in range(10)]
    while now() < begun + 600:  # what is provoked here is that their time runs out meanwhile
        await asyncio.sleep(0.05)
    long = [client.send(f"deed {i}", lasts=4500.0) for i in range(10)]
    daemon.process.send_signal(signal.SIGCONT)
    for number in long:
        await client.answer(number)
    assert not any(client.answers(n) for n in short), (
        "their time was over before the gateway could take them"
    )
    assert {launch.request_id for launch in host.all(protocol.Attempt)}.isdisjoint(short)
    daemon.process.send_signal(signal.SIGTERM)
    assert (await daemon.end())[0] == 0


@with_folder
async def test_sighup_takes_up_a_good_lease_and_keeps_the_old_one_on_error(stack, tmp):
    host = Host()
    lease = await given(stack, tmp, host)
    daemon = await Daemon.start(stack, lease)
    client = await client_of(stack, daemon.port)
    await stack.list.got(protocol.UpdateAcknowledged)

    async def logged(text):
        while text not in (line := (await daemon.process.stderr.readline()).decode()):
            assert line

    good = lease.read_text()
    lease.write_text(good + "\nnonsense: 3")
    daemon.process.send_signal(signal.SIGHUP)
    await logged("keeping the old one")
    lease.write_text(good.replace("bounds: {}", "bounds: {open_events: 1}"))
    daemon.process.send_signal(signal.SIGHUP)
    await logged("configuration reloaded")
    client.send("a", lasts=4500.0)
    assert (await client.answer(client.send("b", lasts=4500.0))).outcome == "deferred"
    [launch] = await host.got(protocol.Attempt)
    host.outcome(launch)
    daemon.process.send_signal(signal.SIGTERM)
    assert (await daemon.end())[0] == 0
