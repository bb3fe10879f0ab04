"""What a conductor does at each step of a day's troubles."""

import asyncio
import json
import signal
from typing import Any

from cherrydoor.fakes.record import wall


class FaultSteps:
    """Steps by name, do_kill_gateway and so on; the parts are the conductor's."""

    day: dict
    record: Any
    host_pool: Any
    store: Any
    list: Any
    feed: Any
    crowd: Any
    keys: Any
    folder: Any
    ids: dict
    endpoints: dict
    set_endpoint: Any
    addresses: dict
    gateways: dict
    client_sources: Any
    host_specs: Any
    replaces: dict
    ports: Any
    replaced: set
    start_gateways: Any
    proxy: Any
    proxied: Any

    async def do_trouble(self, name, on):
        self.record.add("trouble", fate="begins" if on else "ends", text=name)

    async def do_hosts(self, do, hosts, values):
        names = {} if hosts is None else {"hosts": [self.ids[h] for h in hosts if h in self.ids]}
        await self.host_pool.command(do, **names, **values)

    async def do_crash(self, host):
        await self.host_pool.command("crash", hosts=[self.ids[host]])
        await asyncio.sleep(self.day["list"]["miss"] / 1000)
        state, since, build = self.endpoints[self.ids[host]]
        if (await self.host_pool.command("who"))[self.ids[host]]["up"] is False:
            await self.set_endpoint(host, self.ids[host], "gone", since, build)

    async def do_return(self, host):
        if host not in self.ids:
            return
        [since] = await self.host_pool.command("restart", hosts=[self.ids[host]])
        await self.set_endpoint(
            host, self.ids[host], "ready", since, self.endpoints[self.ids[host]][2]
        )

    async def do_drain(self, host):
        _, since, build = self.endpoints[self.ids[host]]
        await self.set_endpoint(host, self.ids[host], "draining", since, build)
        await self.host_pool.command("drain", hosts=[self.ids[host]])

    async def do_leave(self, host):
        _, since, build = self.endpoints[self.ids[host]]
        await self.host_pool.command("crash", hosts=[self.ids[host]])
        await self.set_endpoint(host, self.ids[host], "gone", since, build)

    async def do_join(self, host, replaces):
        build = self.host_specs[self.replaces[host]]
        name = self.ports.take()
        binds = [await self.proxied(name)] if self.proxy else None
        [name] = await self.host_pool.command(
            "add", builds=[build], names=[name], cold=True, binds=binds
        )
        self.ids[host] = name
        await self.set_endpoint(host, name, "ready", wall(), build)

    async def do_store(self, **values):
        await self.store.command("set", **values)

    async def do_cut(self, gateways, on):
        """From all peers and hosts, both ways; the record says of whom, for the judge."""
        for gateway in gateways:
            self.record.add("gateway cut off" if on else "gateway reached", f"g{gateway}")
            await self.proxy.command("set", origin=f"g{gateway}", to="*", both=True, cut=on)

    async def ask_gateway(self, said):
        """The answer of the first gateway that runs and gives one; None where there is none."""
        for number, (part, _) in sorted(self.gateways.items()):
            if part.process.returncode is not None:
                continue
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_unix_connection(
                        str(self.folder / f"g{number}.control")
                    )
                    writer.write(json.dumps(said).encode() + b"\n")
                    line = await reader.readline()
                    writer.close()
                    if line:
                        return json.loads(line)
            except (OSError, TimeoutError):
                continue
        return None

    async def do_site(self, site, word):
        """An operator's word; what becomes of the drain is noted as gateways tell it."""
        answer = await self.ask_gateway({"do": "site", "what": word, "site": site, "even": True})
        self.record.add("site", fate=word, text=site, function=str((answer or {}).get("error", "")))
        last = None
        while (
            word == "drain"
            and (said := await self.ask_gateway({"do": "site", "what": "show", "site": site}))
            is not None
        ):
            state = said.get("state", ""), said.get("wave", 0), said.get("conductor", "")
            if state != last:
                self.record.add("site", peer=state[2], fate=state[0], number=state[1], text=site)
                last = state
            if state[0] == "over":
                break
            await asyncio.sleep(0.1)

    async def do_kill_conductor(self, back):
        """Whoever conducts a drain, and nobody else; it comes back later."""
        for site in self.day["fleet"]["floors"]:
            name = (await self.ask_gateway({"do": "site", "what": "show", "site": site}) or {}).get(
                "conductor"
            )
            if name:
                await self.do_kill_gateway(int(name[1:]))
                await asyncio.sleep(back / 1000)
                return await self.do_start_gateway(int(name[1:]))

    async def do_noise(self, values):
        await self.proxy.command("set", origin="g*", to="g*", **values)

    async def do_list(self, on):
        await self.list.command("deaf", on=on)

    async def do_flush(self, functions, release):
        await self.store.command("release", functions=functions, release=release)
        await self.host_pool.command("flush", functions=functions, release=release)

    async def do_flood(self, per_second):
        await self.crowd.command(
            "flood",
            doors=list(self.addresses.values()),
            per_second=per_second,
            tls=self.day["doors"]["tls"],
        )

    async def do_reconnect(self, count):
        """At the gateways that run, an office's connections beside those that it has."""
        up = [g for g, (part, _) in self.gateways.items() if part.process.returncode is None]
        await self.crowd.command(
            "come back",
            doors={f"g{g}": self.addresses[g] for g in sorted(up)},
            offices=self.client_sources(),
            count=count,
        )

    async def do_key_change(self, gateways, times):
        """New certificates one after the other, with a half-written key between two."""
        for turn in range(times):
            for number in gateways:
                if turn:
                    path = self.folder / "keys" / f"g{number}.key"
                    path.write_bytes(path.read_bytes()[:80])
            await asyncio.sleep(0.4 if turn else 0)
            for number in gateways:
                self.keys.issue("gateway", f"g{number}", addresses=["127.0.0.1"])
            await asyncio.sleep(0.4)

    async def do_release(self, functions, version, bad):
        """A version is announced where there is a feed; where there is none all copies go void, as on other days."""
        if not self.day["feed"]["gradual"]:
            return await self.do_flush(functions, version)
        if bad:
            await self.host_pool.command(
                "bad", functions=[f"{name}@{version}" for name in functions], **bad
            )
        await self.feed.command("release", functions=functions, version=version)

    def process_and_gateways(self, gateway):
        part, group = self.gateways[gateway]
        return part, group

    async def do_kill_gateway(self, gateway):
        part, group = self.process_and_gateways(gateway)
        if part.process.returncode is None:
            for one in group:
                self.record.add("gateway killed", f"g{one}")
            part.signal(signal.SIGKILL)
            await part.process.wait()

    async def do_start_gateway(self, gateway):
        part, group = self.process_and_gateways(gateway)
        if part.process.returncode is not None and part not in self.replaced:
            self.replaced.add(
                part
            )  # its mates are to be started at the same moment, and come along
            await self.start_gateways(group)

    async def do_stop_gateway(self, gateway):
        part, group = self.process_and_gateways(gateway)
        for one in group:
            self.record.add("gateway stopped", f"g{one}")
        part.signal(signal.SIGSTOP)

    async def do_continue_gateway(self, gateway):
        part, group = self.process_and_gateways(gateway)
        part.signal(signal.SIGCONT)
        for one in group:
            self.record.add("gateway continued", f"g{one}")
