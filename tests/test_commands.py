"""A gateway run from the command line with fake services, a lease file and requests."""

import json
import os
import signal
import subprocess
import sys


def command(*words, **options):
    return subprocess.Popen(
        [sys.executable, "-m", "cherrydoor", *words],
        stdin=subprocess.PIPE,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
        **options,
    )


def read_json(process):
    return json.loads(process.stdout.readline())


def test_store_hosts_endpoint_list_gateway_and_requests_from_the_command_line(tmp_path):
    processes = [command("store")]
    store_port = read_json(processes[0])["port"]
    processes.append(command("host", "--store", f"127.0.0.1:{store_port}", "--count", "2"))
    host_addresses = read_json(processes[1])["hosts"]
    processes.append(
        command("list", *(word for host in host_addresses for word in ("--host", host)))
    )
    lease = tmp_path / "g.lease"
    lease.write_text(
        f'name: "g"\nnumber: 0\ngateways: 1\nlist: "127.0.0.1:{read_json(processes[2])["port"]}"\n'
        'clauses: [{name: "draft", target: 2s, max_age: 20s}]\nmay: {launches: 3, recall: true}\n'
    )
    processes.append(command("gateway", "--lease", str(lease), "--announce"))
    try:
        gateway_address = f"127.0.0.1:{read_json(processes[3])['port']}"
        words = [
            "send",
            gateway_address,
            "--clause",
            "draft",
            "--lasts",
            "20000",
            "--body",
            "abc",
            "--json",
        ]
        for _ in range(50):  # until the gateway has received its endpoint list
            sender = command(*words)
            output, _ = sender.communicate(timeout=60)
            if sender.returncode == 0:
                break
        [answer] = map(json.loads, output.splitlines())
        assert answer["fate"] == "handled" and answer["body"] == "xxx"
        unknown_class = command("send", gateway_address, "--clause", "nothing")
        assert unknown_class.wait(60) == 1
        processes[1].stdin.write('{"do": "crash"}\nnonsense\n')
        processes[1].stdin.flush()
        assert read_json(processes[1])["is"] == "done" and read_json(processes[1])["is"] == "wrong"
        processes[3].send_signal(signal.SIGTERM)
        assert processes[3].wait(60) == 0
        assert command("send", gateway_address, "--clause", "draft").wait(60) == 2
    finally:
        for process in reversed(processes):
            process.stdin.close()
            if process is processes[3]:
                process.kill()
            process.wait(30)
            process.stdout.close()
            process.stderr.close()
