"""Keys on real sockets: TLS at the door and to hosts, changed while events pass."""

import asyncio
import json
import signal

import pytest
from rings import client_context, lease_part, made, sealed, seated
from stack import Host, Listing, now
from test_process import Daemon, with_folder

from cherrydoor.fakes.crowd import greeting
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import files
from cherrydoor.tls.keeper import Keeper, Where

KNOWN = 'admission: {known: [{name: "harbour", places: 8}, {name: "meadow", places: 8}]}\n'


@with_folder
async def test_clients_are_known_by_certificate_and_by_token(stack, tmp):
    keys = made(tmp)
    await stack.start(Host("handled"), bounds=lease_part(tmp), known=KNOWN, plain=False)
    for office, name, token in (
        ("harbour", "harbour", ""),
        ("meadow", "meadow", ""),
        ("harbour", "", keys.token("k1", "harbour")),
    ):
        before = seated(stack, office)
        client = await sealed(stack, tmp, name, token)
        assert (await client.answer(client.send())).outcome == "handled" and seated(
            stack, office
        ) == before + 1
    stranger = await sealed(stack, tmp)
    assert (await stranger.answer(stranger.send())).outcome == "handled"
    for token, why in (
        (keys.token("k1", "meadow"), "may not speak for"),
        ("nonsense", "no token"),
        (keys.token("k1", "harbour", -1.0), "ended"),
        (keys.token("k1", "harbour")[:-9] + "AAAAAAAAA", "does not hold"),
    ):
        refused = await sealed(stack, tmp, "", token)
        await refused.until(lambda refused=refused: refused.lost_ends)
        assert why in refused.ends[0].why


@with_folder
async def test_a_client_without_tls_and_one_that_needs_a_certificate_are_turned_away_alone(
    stack, tmp
):
    made(tmp)
    await stack.start(
        Host("handled"), bounds=lease_part(tmp, 'clients: "need"'), known=KNOWN, plain=False
    )
    plain = await asyncio.open_connection("127.0.0.1", stack.service.port)
    plain[1].write(b"\0\0\0\x08\x81\xa2is\xa3ask")
    await asyncio.wait_for(plain[0].read(), 20)
    nobody = None
    try:
        nobody = await sealed(stack, tmp)
        await nobody.until(lambda: nobody.lost_ends)
    except OSError:
        pass
    assert nobody is None or not nobody.all(protocol.Response)
    known = await sealed(stack, tmp, "harbour")
    assert (await known.answer(known.send())).outcome == "handled"


@with_folder
async def test_keys_change_under_load_twice_and_with_a_wrong_file_in_between(stack, tmp):
    keys = made(tmp)
    host, other = Host("handled"), Host("handled")
    await stack.start(
        host, other, bounds=lease_part(tmp, "standing: 0ms"), known=KNOWN, plain=False
    )
    ring, sent, answered, ended, stop = stack.service.tls.ring, 0, 0, 0, False

    async def load(name):
        nonlocal sent, answered, ended
        while not stop:
            client = await sealed(stack, tmp, name)
            number = client.send(f"deed {sent % 9}", lasts=4900.0)
            sent += 1
            await client.until(lambda c=client, n=number: c.answers(n) or c.lost_ends)
            if client.answers(number):
                assert client.answers(number)[0].outcome == "handled"
                answered += 1
            else:  # it was ended before its event was taken: then no host has heard of it
                assert "has changed" in client.end.why
                ended += 1
            client.end.close()

    tasks = [asyncio.ensure_future(load(name)) for name in ("harbour", "meadow")]
    first = ring.serving("pair").serial
    keys.issue("gateway", "g0", addresses=["127.0.0.1"])
    await stack.settled(lambda: ring.serving("pair").serial != first)
    second, key = ring.serving("pair").serial, (tmp / "g0.key").read_bytes()
    (tmp / "g0.key").write_bytes(key[: len(key) // 2])  # half-written
    await stack.settled(lambda: ring.kept["pair"].said)
    assert ring.serving("pair").serial == second
    keys.issue("gateway", "g0", addresses=["127.0.0.1"])
    await stack.settled(lambda: ring.serving("pair").serial != second)
    keys.authority(more=True)
    await stack.settled(lambda: len(ring.serving("authorities")) == 2)
    before = answered
    await stack.settled(lambda: answered > before + 10)
    stop = True
    await asyncio.gather(*tasks)
    assert sent == answered + ended and ended <= 6
    taken = stack.counters["taken"]
    assert (
        taken == answered == len(host.all(protocol.Attempt)) + len(other.all(protocol.Attempt))
    ), "no event taken is cut off"


@with_folder
async def test_a_change_over_of_authorities_from_beginning_to_end(stack, tmp):
    keys = made(tmp)
    await stack.start(
        Host("handled"), bounds=lease_part(tmp, "standing: 0ms"), known=KNOWN, plain=False
    )
    ring, old = stack.service.tls.ring, await sealed(stack, tmp, "harbour")
    keys.authority(more=True)
    keys.issue("gateway", "g0", addresses=["127.0.0.1"])
    keys.issue("client", "meadow")
    await stack.settled(
        lambda: len(ring.serving("authorities")) == 2 and not ring.kept["pair"].said
    )
    new = await sealed(stack, tmp, "meadow")
    assert (await new.answer(new.send())).outcome == "handled" and (
        await sealed(stack, tmp, "harbour")
    ).ends
    keys.retire()
    await stack.settled(lambda: len(ring.serving("authorities")) == 1)
    await old.until(lambda: old.lost_ends)
    assert "service no more" in old.end.why or "has changed" in old.end.why
    assert (await new.answer(new.send())).outcome == "handled"


@with_folder
async def test_a_revoked_client_is_put_out_and_stays_out(stack, tmp):
    keys = made(tmp)
    await stack.start(Host("handled"), bounds=lease_part(tmp), known=KNOWN, plain=False)
    client, other = await sealed(stack, tmp, "harbour"), await sealed(stack, tmp, "meadow")
    keys.revoke("harbour")
    await client.until(lambda: client.lost_ends)
    assert "revoked" in client.end.why
    again = await sealed(stack, tmp, "harbour")
    await again.until(lambda: again.lost_ends)
    assert "revoked" in again.ends[0].why and not other.lost_ends


@with_folder
async def test_hosts_are_met_with_tls_and_a_wrong_one_is_as_one_out_of_reach(stack, tmp):
    keys = made(tmp)
    keys.issue("host", "h0", addresses=["127.0.0.1"])
    strange = made(tmp / "elsewhere")
    strange.issue("host", "h1", addresses=["127.0.0.1"])
    host, impostor = Host("handled"), Host("handled")
    host.tls = files.context(True, *files.pair(tmp / "h0.pem", tmp / "h0.key")[2:])
    impostor.tls = files.context(
        True, *files.pair(tmp / "elsewhere/h1.pem", tmp / "elsewhere/h1.key")[2:]
    )
    await stack.start(host, impostor, bounds=lease_part(tmp, "hosts: true"), plain=False)
    client = await sealed(stack, tmp)
    for i in range(8):
        assert (await client.answer(client.send(f"deed {i}"))).outcome == "handled"
    assert host.all(protocol.Attempt) and not impostor.all(protocol.Attempt)


@with_folder
async def test_no_secret_is_in_a_log_or_an_error(stack, tmp):
    keys = made(tmp)
    stack.list = await Listing().start()
    stack.opened.append(stack.list)
    from stack import LEASE

    lease = tmp / "g.lease"
    lease.write_text(
        LEASE % stack.list.port + "may: {}\ncold: {}\nration: {}\n" + lease_part(tmp) + KNOWN
    )
    daemon = await Daemon.start(stack, lease)
    token = keys.token("k1", "harbour")
    await sealed(stack, tmp, "", token[:-9] + "AAAAAAAAA", daemon.port)
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
    told = "".join(daemon.errors) + rest
    assert code == 0 and "Traceback" not in told and token[:40] not in told
    assert not any(piece in told for piece in secret.splitlines()[1:-1] if piece)


def test_a_pair_that_is_not_good_at_the_start_is_an_error_and_no_traceback(tmp_path):
    made(tmp_path)
    (tmp_path / "g0.key").write_text((tmp_path / "harbour.key").read_text())
    keeper = Keeper(Where(str(tmp_path / "g0.pem"), str(tmp_path / "g0.key")), None)
    with pytest.raises(files.BadKeys, match="do not belong together"):
        asyncio.run(keeper.start())
    (tmp_path / "tokens.jwks").write_text(
        json.dumps({"keys": [{"kty": "oct", "k": "c2VjcmV0", "kid": "x"}]})
    )
    with pytest.raises(files.BadKeys, match="no public Ed25519") as told:
        files.tokens(tmp_path / "tokens.jwks")
    assert "c2VjcmV0" not in str(told.value)
    assert client_context(tmp_path, "harbour") and now()


def test_a_start_in_the_moment_in_which_its_pair_is_replaced_waits_for_the_other_file(tmp_path):
    """A rehearsal ended with "bad lease" as a gateway came back while its key was written anew."""
    made(tmp_path)
    good = (tmp_path / "g0.key").read_bytes()
    (tmp_path / "g0.key").write_bytes(good[:80])
    keeper = Keeper(
        Where(str(tmp_path / "g0.pem"), str(tmp_path / "g0.key"), settle=20000.0, look=50.0), None
    )

    async def start():
        starting = asyncio.ensure_future(keeper.start())
        while keeper.seen is None:
            await asyncio.sleep(0)
        (tmp_path / "g0.key").write_bytes(good)
        await starting
        keeper.close()

    asyncio.run(start())
    assert keeper.server is not None


@with_folder
async def test_handshakes_that_never_end_keep_nobody_out(stack, tmp):
    made(tmp)
    await stack.start(
        Host("handled"),
        bounds=lease_part(tmp),
        plain=False,
        known=KNOWN.replace("{known", "{hello: 500ms, known").replace(
            "places: 8}]", 'places: 8, addresses: ["127.0.0.1/32"]}]'
        ),
    )
    first, idle = greeting(True), []
    for i in range(300):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", stack.service.port, local_addr=(f"127.3.{i % 200}.1", 0)
        )
        writer.write(first[: (0, 40, len(first))[i % 3]])
        idle.append((reader, writer))
        if i % 30 == 29:
            client = await sealed(stack, tmp, "meadow")
            assert (await client.answer(client.send(lasts=4900.0))).outcome == "handled"
            client.end.close()
    guard = stack.service.listeners.controller
    assert len(guard.pending.slots) <= guard.pending.most
    await stack.settled(lambda: not guard.pending.unshown)
    for _, writer in idle:
        writer.close()
