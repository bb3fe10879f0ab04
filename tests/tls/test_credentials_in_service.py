"""TLS on real sockets, at the listener and to hosts, with credentials replaced under load."""

import asyncio
import json
import signal

import pytest
from gateway_process import GatewayProcess, with_folder
from stack import LEASE, EndpointListServer, Host
from tls_support import (
    client_context,
    config_part,
    connect_tls,
    connections_of,
    make_local_authority,
)

from cherrydoor.fakes.connection_flood import client_greeting
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls.credential_files import read_pair, read_token_keys
from cherrydoor.tls.credential_manager import CredentialManager
from cherrydoor.tls.credentials import Part
from cherrydoor.tls.errors import CredentialFileError, CredentialRejectedError
from cherrydoor.tls.settings import CredentialSettings
from cherrydoor.tls.tls_context import make_context

KNOWN = 'admission: {known: [{name: "harbour", places: 8}, {name: "meadow", places: 8}]}\n'


def pair_settings(folder, **more):
    return CredentialSettings(str(folder / "g0.pem"), str(folder / "g0.key"), **more)


def server_context(folder, name):
    loaded = read_pair(folder / f"{name}.pem", folder / f"{name}.key")
    return make_context(True, loaded.chain, loaded.private_key)


@with_folder
async def test_clients_are_identified_by_certificate_and_by_token(stack, tmp):
    local_authority = make_local_authority(tmp)
    await stack.start(Host("handled"), bounds=config_part(tmp), known=KNOWN, plain=False)
    for known_client, name, token in (
        ("harbour", "harbour", ""),
        ("meadow", "meadow", ""),
        ("harbour", "", local_authority.token("k1", "harbour")),
    ):
        before = connections_of(stack, known_client)
        client = await connect_tls(stack, tmp, name, token)
        assert (await client.answer(client.send())).outcome == "handled"
        assert connections_of(stack, known_client) == before + 1
    unknown = await connect_tls(stack, tmp)
    assert (await unknown.answer(unknown.send())).outcome == "handled"
    for token, reason in (
        (local_authority.token("k1", "meadow"), "may not speak for"),
        ("nonsense", "no token"),
        (local_authority.token("k1", "harbour", -1.0), "ended"),
        (local_authority.token("k1", "harbour")[:-9] + "AAAAAAAAA", "does not hold"),
    ):
        refused = await connect_tls(stack, tmp, "", token)
        await refused.until(lambda refused=refused: refused.ended_count)
        assert reason in refused.connections[0].close_reason


@with_folder
async def test_a_client_without_tls_or_a_required_certificate_is_rejected_and_others_are_not(
    stack, tmp
):
    make_local_authority(tmp)
    await stack.start(
        Host("handled"), bounds=config_part(tmp, 'clients: "need"'), known=KNOWN, plain=False
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", stack.service.port)
    writer.write(b"\0\0\0\x08\x81\xa2is\xa3ask")
    await asyncio.wait_for(reader.read(), 20)
    without_certificate = None
    try:
        without_certificate = await connect_tls(stack, tmp)
        await without_certificate.until(lambda: without_certificate.ended_count)
    except OSError:
        pass
    assert without_certificate is None or not without_certificate.all(protocol.Response)
    known = await connect_tls(stack, tmp, "harbour")
    assert (await known.answer(known.send())).outcome == "handled"


@with_folder
async def test_credentials_are_replaced_twice_under_load_with_an_invalid_file_in_between(
    stack, tmp
):
    local_authority = make_local_authority(tmp)
    host = Host("handled")
    other = Host("handled")
    await stack.start(
        host, other, bounds=config_part(tmp, "standing: 0ms"), known=KNOWN, plain=False
    )
    store = stack.service.tls.store
    sent = 0
    answered = 0
    ended = 0
    stop = False

    async def load(name):
        nonlocal sent, answered, ended
        while not stop:
            client = await connect_tls(stack, tmp, name)
            number = client.send(f"document {sent % 9}", timeout_ms=4900.0)
            sent += 1
            await client.until(lambda c=client, n=number: c.answers(n) or c.ended_count)
            if client.answers(number):
                assert client.answers(number)[0].outcome == "handled"
                answered += 1
            else:  # the connection ended before the request was accepted, so no host received it
                assert "has changed" in client.end.close_reason
                ended += 1
            client.end.close()

    tasks = [asyncio.ensure_future(load(name)) for name in ("harbour", "meadow")]
    first = store.pair.serial
    local_authority.issue("gateway", "g0", addresses=["127.0.0.1"])
    await stack.wait_until(lambda: store.pair.serial != first)
    second = store.pair.serial
    key = (tmp / "g0.key").read_bytes()
    (tmp / "g0.key").write_bytes(key[: len(key) // 2])  # half-written
    await stack.wait_until(lambda: store.parts[Part.PAIR].reported_reason)
    assert store.pair.serial == second
    local_authority.issue("gateway", "g0", addresses=["127.0.0.1"])
    await stack.wait_until(lambda: store.pair.serial != second)
    local_authority.create_authority(additional=True)
    await stack.wait_until(lambda: len(store.authorities) == 2)
    before = answered
    await stack.wait_until(lambda: answered > before + 10)
    stop = True
    await asyncio.gather(*tasks)
    assert sent == answered + ended and ended <= 6
    attempts = len(host.all(protocol.Attempt)) + len(other.all(protocol.Attempt))
    assert stack.counters["taken"] == answered == attempts, "every accepted request is answered"


@with_folder
async def test_an_authority_is_replaced_completely(stack, tmp):
    local_authority = make_local_authority(tmp)
    await stack.start(
        Host("handled"), bounds=config_part(tmp, "standing: 0ms"), known=KNOWN, plain=False
    )
    store = stack.service.tls.store
    old = await connect_tls(stack, tmp, "harbour")
    local_authority.create_authority(additional=True)
    local_authority.issue("gateway", "g0", addresses=["127.0.0.1"])
    local_authority.issue("client", "meadow")
    await stack.wait_until(
        lambda: len(store.authorities) == 2 and not store.parts[Part.PAIR].reported_reason
    )
    new = await connect_tls(stack, tmp, "meadow")
    assert (await new.answer(new.send())).outcome == "handled"
    assert (await connect_tls(stack, tmp, "harbour")).connections
    local_authority.retire()
    await stack.wait_until(lambda: len(store.authorities) == 1)
    await old.until(lambda: old.ended_count)
    assert "service no more" in old.end.close_reason or "has changed" in old.end.close_reason
    assert (await new.answer(new.send())).outcome == "handled"


@with_folder
async def test_a_revoked_client_is_disconnected_and_cannot_connect_again(stack, tmp):
    local_authority = make_local_authority(tmp)
    await stack.start(Host("handled"), bounds=config_part(tmp), known=KNOWN, plain=False)
    client = await connect_tls(stack, tmp, "harbour")
    other = await connect_tls(stack, tmp, "meadow")
    local_authority.revoke("harbour")
    await client.until(lambda: client.ended_count)
    assert "revoked" in client.end.close_reason
    second = await connect_tls(stack, tmp, "harbour")
    await second.until(lambda: second.ended_count)
    assert "revoked" in second.connections[0].close_reason and not other.ended_count


@with_folder
async def test_a_host_whose_certificate_is_not_trusted_is_treated_as_unreachable(stack, tmp):
    local_authority = make_local_authority(tmp)
    local_authority.issue("host", "h0", addresses=["127.0.0.1"])
    other_authority = make_local_authority(tmp / "elsewhere")
    other_authority.issue("host", "h1", addresses=["127.0.0.1"])
    host = Host("handled")
    untrusted_host = Host("handled")
    host.tls = server_context(tmp, "h0")
    untrusted_host.tls = server_context(tmp / "elsewhere", "h1")
    await stack.start(host, untrusted_host, bounds=config_part(tmp, "hosts: true"), plain=False)
    client = await connect_tls(stack, tmp)
    for i in range(8):
        assert (await client.answer(client.send(f"document {i}"))).outcome == "handled"
    assert host.all(protocol.Attempt) and not untrusted_host.all(protocol.Attempt)


@with_folder
async def test_no_secret_is_in_a_log_or_an_error(stack, tmp):
    local_authority = make_local_authority(tmp)
    stack.list = await EndpointListServer().start()
    stack.opened.append(stack.list)
    lease = tmp / "g.lease"
    lease.write_text(
        LEASE % stack.list.port + "may: {}\ncold: {}\nration: {}\n" + config_part(tmp) + KNOWN
    )
    daemon = await GatewayProcess.start(stack, lease)
    token = local_authority.token("k1", "harbour")
    await connect_tls(stack, tmp, "", token[:-9] + "AAAAAAAAA", daemon.port)
    secret = (tmp / "g0.key").read_text()
    (tmp / "g0.key").write_text(secret[:120])
    daemon.process.send_signal(signal.SIGHUP)
    while True:
        line = (await asyncio.wait_for(daemon.process.stderr.readline(), 20)).decode()
        daemon.errors.append(line)
        if "no whole private key" in line:
            break
    daemon.process.send_signal(signal.SIGTERM)
    code, rest = await daemon.end()
    output = "".join(daemon.errors) + rest
    assert code == 0 and "Traceback" not in output and token[:40] not in output
    assert not any(piece in output for piece in secret.splitlines()[1:-1] if piece)


def test_a_start_with_a_pair_that_does_not_match_raises_an_error_with_the_reason(tmp_path):
    make_local_authority(tmp_path)
    (tmp_path / "g0.key").write_text((tmp_path / "harbour.key").read_text())
    manager = CredentialManager(pair_settings(tmp_path), None)
    with pytest.raises(CredentialRejectedError, match="do not belong together"):
        asyncio.run(manager.start())
    assert client_context(tmp_path, "harbour")


def test_the_error_for_a_secret_token_key_does_not_contain_it(tmp_path):
    path = tmp_path / "tokens.jwks"
    path.write_text(json.dumps({"keys": [{"kty": "oct", "k": "c2VjcmV0", "kid": "x"}]}))
    with pytest.raises(CredentialFileError, match="no public Ed25519") as caught:
        read_token_keys(path)
    assert "c2VjcmV0" not in str(caught.value)


def test_a_start_while_the_pair_is_being_replaced_waits_for_the_second_file(tmp_path):
    """A start must not fail because the key file is being written at that moment.

    In a rehearsal this ended with "bad lease".
    """
    make_local_authority(tmp_path)
    key_in_pem = (tmp_path / "g0.key").read_bytes()
    (tmp_path / "g0.key").write_bytes(key_in_pem[:80])
    manager = CredentialManager(
        pair_settings(tmp_path, start_timeout_ms=20000.0, poll_interval_ms=50.0), None
    )

    async def start():
        starting = asyncio.ensure_future(manager.start())
        while manager.stamps is None:
            await asyncio.sleep(0)
        (tmp_path / "g0.key").write_bytes(key_in_pem)
        await starting
        manager.close()

    asyncio.run(start())
    assert manager.server is not None


@with_folder
async def test_handshakes_that_never_complete_do_not_block_other_clients(stack, tmp):
    make_local_authority(tmp)
    await stack.start(
        Host("handled"),
        bounds=config_part(tmp),
        plain=False,
        known=KNOWN.replace("{known", "{hello: 500ms, known").replace(
            "places: 8}]", 'places: 8, addresses: ["127.0.0.1/32"]}]'
        ),
    )
    first = client_greeting(True)
    idle = []
    for i in range(300):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", stack.service.port, local_addr=(f"127.3.{i % 200}.1", 0)
        )
        writer.write(first[: (0, 40, len(first))[i % 3]])
        idle.append((reader, writer))
        if i % 30 == 29:
            client = await connect_tls(stack, tmp, "meadow")
            assert (await client.answer(client.send(timeout_ms=4900.0))).outcome == "handled"
            client.end.close()
    admission_controller = stack.service.listeners.controller
    assert len(admission_controller.pending.slots) <= admission_controller.pending.capacity
    await stack.wait_until(lambda: not admission_controller.pending.unidentified)
    for _, writer in idle:
        writer.close()


def test_a_start_with_a_pair_that_stays_invalid_fails_after_the_start_timeout(tmp_path):
    """Without this error, a TLS listener would be opened without a TLS context."""
    make_local_authority(tmp_path)
    certificate, key_of_another = tmp_path / "g0.pem", tmp_path / "harbour.key"
    settings = CredentialSettings(str(certificate), str(key_of_another), start_timeout_ms=50.0)

    async def start():
        manager = CredentialManager(settings, lambda *_: None)
        try:
            await manager.start()
        finally:
            manager.close()

    with pytest.raises(CredentialRejectedError):
        asyncio.run(start())
