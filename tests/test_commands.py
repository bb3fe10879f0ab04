"""A gateway tried by hand: stand-ins, a lease, events sent from the shell."""

import json
import os
import signal
import subprocess
import sys


def command(*words, **more):
    return subprocess.Popen(
        [sys.executable, "-m", "cherrydoor", *words],
        stdin=subprocess.PIPE,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
        **more,
    )


def ready(process):
    return json.loads(process.stdout.readline())


def test_store_host_list_gateway_and_events_from_the_shell(tmp_path):
    parts = [command("store")]
    store = ready(parts[0])["port"]
    parts.append(command("host", "--store", f"127.0.0.1:{store}", "--count", "2"))
    hosts = ready(parts[1])["hosts"]
    parts.append(command("list", *(word for host in hosts for word in ("--host", host))))
    lease = tmp_path / "g.lease"
    lease.write_text(
        f'name: "g"\nnumber: 0\ngateways: 1\nlist: "127.0.0.1:{ready(parts[2])["port"]}"\n'
        'clauses: [{name: "draft", target: 2s, max_age: 20s}]\nmay: {launches: 3, recall: true}\n'
    )
    parts.append(command("gateway", "--lease", str(lease), "--announce"))
    try:
        door = f"127.0.0.1:{ready(parts[3])['port']}"
        words = ["send", door, "--clause", "draft", "--lasts", "20000", "--body", "abc", "--json"]
        for _ in range(50):  # until the gateway has heard of its hosts
            sent = command(*words)
            out, _ = sent.communicate(timeout=60)
            if sent.returncode == 0:
                break
        [answer] = map(json.loads, out.splitlines())
        assert answer["fate"] == "handled" and answer["body"] == "xxx"
        unknown = command("send", door, "--clause", "nothing")
        assert unknown.wait(60) == 1
        parts[1].stdin.write('{"do": "crash"}\nnonsense\n')
        parts[1].stdin.flush()
        assert ready(parts[1])["is"] == "done" and ready(parts[1])["is"] == "wrong"
        parts[3].send_signal(signal.SIGTERM)
        assert parts[3].wait(60) == 0
        assert command("send", door, "--clause", "draft").wait(60) == 2
    finally:
        for part in reversed(parts):
            part.stdin.close()
            if part is parts[3]:
                part.kill()
            part.wait(30)
            part.stdout.close()
            part.stderr.close()
