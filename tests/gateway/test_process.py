"""The gateway process: start, signals, crashes, suspensions and metrics."""

import asyncio
import json
import signal
import socket
import subprocess
import sys

import pytest
from gateway_process import GatewayProcess, configuration_file, with_folder
from stack import WAIT_LIMIT_S, Client, Host, environment, now

from cherrydoor.protocol import messages as protocol

MISSING_LATENCY_OBJECTIVE = """
name: "g", number: 3, gateways: 2, list: "nowhere"
clauses: []
"""
DEADLINE_BELOW_LATENCY_OBJECTIVE = """
name: "g", number: 3, gateways: 2, list: "nowhere"
clauses: [{name: "a", target: 2s, max_age: 1s}]
cold: {}
ration: {}
may: {}
bounds: {}
"""


async def connected_client(stack, port):
    """Connects a client once the gateway knows its hosts; it rejects requests until then."""
    await stack.list.wait_for(protocol.UpdateAcknowledged)
    client = await Client().connect(port)
    stack.opened.append(client)
    return client


def run_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "cherrydoor", *map(str, arguments)],
        capture_output=True,
        text=True,
        env=environment(),
        timeout=60,
    )


# ---- start
def test_an_invalid_configuration_prevents_the_start_and_is_explained(tmp_path):
    path = tmp_path / "bad.lease"
    path.write_text(MISSING_LATENCY_OBJECTIVE)
    result = run_command("gateway", "--lease", path)
    assert result.returncode == 64
    assert "clauses" in result.stderr
    assert "Traceback" not in result.stderr


def test_a_check_reports_all_problems_of_a_configuration(tmp_path):
    path = tmp_path / "bad.lease"
    path.write_text(DEADLINE_BELOW_LATENCY_OBJECTIVE)
    result = run_command("lease", "check", path, "--json")
    assert result.returncode == 64
    problems = json.loads(result.stdout)
    assert {problem["path"] for problem in problems} == {"list", "number", "clauses.0.target"}


@with_folder
async def test_a_listener_port_that_is_in_use_prevents_the_start(stack, folder):
    other = await Host().start()
    stack.opened.append(other)
    port = int(other.id.rpartition(":")[2])
    configuration = await configuration_file(stack, folder, port=port)
    code, errors = await (await GatewayProcess.start(stack, configuration)).end()
    assert code == 69
    assert "listener port already in use" in errors


# ---- signals
@with_folder
async def test_sigterm_answers_accepted_requests_and_exits_with_0(stack, folder):
    host = Host()
    configuration = await configuration_file(stack, folder, host)
    gateway = await GatewayProcess.start(stack, configuration)
    client = await connected_client(stack, gateway.port)
    accepted = [client.send(f"function {i}", timeout_ms=4500.0) for i in range(2)]
    attempts = await host.wait_for(protocol.Attempt, 2)
    gateway.process.send_signal(signal.SIGTERM)
    await client.wait_for(protocol.Draining)
    rejected = await client.answer(client.send(timeout_ms=4500.0))
    assert rejected.outcome == "deferred"
    assert "leaving" in rejected.reason
    for attempt in attempts:
        host.outcome(attempt)
    outcomes = [(await client.answer(number)).outcome for number in accepted]
    assert outcomes == ["handled", "handled"]
    code, _ = await gateway.end()
    assert code == 0
    assert len(host.all(protocol.Attempt)) == 2


@with_folder
async def test_a_second_sigterm_ends_the_process_immediately(stack, folder):
    host = Host()
    configuration = await configuration_file(stack, folder, host)
    gateway = await GatewayProcess.start(stack, configuration)
    client = await connected_client(stack, gateway.port)
    client.send(timeout_ms=4500.0)
    await host.wait_for(protocol.Attempt)
    gateway.process.send_signal(signal.SIGTERM)
    await client.wait_for(protocol.Draining)
    gateway.process.send_signal(signal.SIGTERM)
    code, errors = await gateway.end()
    assert code == 3
    assert "drain timed out" in errors


@with_folder
async def test_sighup_applies_a_valid_configuration_and_keeps_the_old_one_on_error(stack, folder):
    host = Host()
    configuration = await configuration_file(stack, folder, host)
    gateway = await GatewayProcess.start(stack, configuration)
    client = await connected_client(stack, gateway.port)
    valid = configuration.read_text()
    configuration.write_text(valid + "\nnonsense: 3")
    gateway.process.send_signal(signal.SIGHUP)
    await gateway.wait_for_log("keeping the old one")
    configuration.write_text(valid.replace("bounds: {}", "bounds: {open_events: 1}"))
    gateway.process.send_signal(signal.SIGHUP)
    await gateway.wait_for_log("configuration reloaded")
    client.send("a", timeout_ms=4500.0)
    assert (await client.answer(client.send("b", timeout_ms=4500.0))).outcome == "deferred"
    [attempt] = await host.wait_for(protocol.Attempt)
    host.outcome(attempt)
    gateway.process.send_signal(signal.SIGTERM)
    assert (await gateway.end())[0] == 0


# ---- crash and suspension
@with_folder
async def test_after_a_kill_under_load_the_gateway_restarts_with_the_cached_endpoint_list(
    stack, folder
):
    host = Host()
    configuration = await configuration_file(stack, folder, host)
    gateway = await GatewayProcess.start(stack, configuration)
    client = await connected_client(stack, gateway.port)
    client.send(timeout_ms=4500.0)
    await host.wait_for(protocol.Attempt)
    while not (folder / "saved").exists():
        await asyncio.sleep(0.01)
    gateway.process.kill()
    await client.until(lambda: client.ended_count)
    await host.until(lambda: host.ended_count)
    stack.list.server.close()
    for end in stack.list.connections:
        end.abort()
    host.answers = "handled"
    restarted = await GatewayProcess.start(stack, configuration)
    second = await connected_client(stack, restarted.port)
    assert (await second.answer(second.send(timeout_ms=4500.0))).outcome == "handled"
    restarted.process.send_signal(signal.SIGTERM)
    code, errors = await restarted.end()
    assert code == 0
    assert "endpoint list unreachable" in errors


@with_folder
async def test_after_a_suspension_expired_requests_reach_no_host(stack, folder):
    host = Host("handled")
    configuration = await configuration_file(stack, folder, host)
    gateway = await GatewayProcess.start(stack, configuration)
    client = await connected_client(stack, gateway.port)
    await client.answer(client.send(timeout_ms=4500.0))
    gateway.process.send_signal(signal.SIGSTOP)
    suspended_at_ms = now()
    expired = [client.send(f"function {i}", timeout_ms=300.0) for i in range(10)]
    while now() < suspended_at_ms + 600:  # their deadlines pass during the suspension
        await asyncio.sleep(0.05)
    in_time = [client.send(f"function {i}", timeout_ms=4500.0) for i in range(10)]
    gateway.process.send_signal(signal.SIGCONT)
    for number in in_time:
        await client.answer(number)
    assert not any(client.answers(number) for number in expired), (
        "expired requests must get no response"
    )
    attempted = {attempt.request_id for attempt in host.all(protocol.Attempt)}
    assert attempted.isdisjoint(expired)
    gateway.process.send_signal(signal.SIGTERM)
    assert (await gateway.end())[0] == 0


# ---- metrics
def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def connect_to_metrics(port):
    """Connects to the metrics listener, which opens after the client listener is announced."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)


async def scrape(port, request):
    """Sends these bytes and returns the status and body of the response."""
    reader, writer = await connect_to_metrics(port)
    writer.write(request)
    response = await reader.read()
    writer.close()
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), body.decode()


@with_folder
async def test_a_scrape_returns_the_gateways_counters_and_current_values(stack, folder):
    port = free_port()
    configuration = await configuration_file(
        stack, folder, Host("handled"), more=f'bounds: {{}}\nmetrics: "127.0.0.1:{port}"'
    )
    gateway = await GatewayProcess.start(stack, configuration)
    client = await connected_client(stack, gateway.port)
    await client.answer(client.send(timeout_ms=4500.0))
    status, body = await scrape(port, b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n")
    assert status == 200
    lines = body.splitlines()
    assert 'cherrydoor_total{gateway="g0",what="handled"} 1.0' in lines
    assert 'cherrydoor_now{gateway="g0",what="requests"} 0.0' in lines
    assert 'cherrydoor_now{gateway="g0",what="hosts"} 1.0' in lines
    assert 'cherrydoor_now{gateway="g0",what="clients"} 1.0' in lines
    assert any(line.startswith('cherrydoor_now{gateway="g0",what="timers"}') for line in lines)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        pytest.param(b"GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n", 404, id="unknown path"),
        pytest.param(b"POST /metrics HTTP/1.1\r\nhost: a\r\n\r\n", 404, id="method"),
        pytest.param(b"no request at all\r\n\r\n", 400, id="no HTTP"),
    ],
)
def test_a_scrape_of_anything_else_is_refused(tmp_path, request_bytes, status):
    @with_folder
    async def refused(stack, folder):
        port = free_port()
        configuration = await configuration_file(
            stack, folder, more=f'bounds: {{}}\nmetrics: "127.0.0.1:{port}"'
        )
        await GatewayProcess.start(stack, configuration)
        assert (await scrape(port, request_bytes))[0] == status

    refused(tmp_path)
