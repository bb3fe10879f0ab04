"""The actions of a fault plan's steps: each method `do_NAME` carries out the steps called NAME."""

import asyncio
import json
import signal
from typing import Any

from cherrydoor.fakes.record import wall


class FaultSteps:
    """Carries out steps by name, e.g. `do_kill_gateway` for "kill gateway".

    ScenarioRunner inherits from this class and provides the attributes declared here.
    """

    day: dict
    record: Any
    host_pool: Any
    store: Any
    list: Any
    feed: Any
    crowd: Any
    keys: Any
    folder: Any
    host_ids: dict
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
        """Sends a command to the given hosts, or to the whole host pool if `hosts` is None."""
        targets = (
            {}
            if hosts is None
            else {"hosts": [self.host_ids[host] for host in hosts if host in self.host_ids]}
        )
        await self.host_pool.command(do, **targets, **values)

    async def do_crash(self, host):
        """Crashes a host.

        After the list's detection delay its endpoint is set to gone, unless it is up again.
        """
        await self.host_pool.command("crash", hosts=[self.host_ids[host]])
        await asyncio.sleep(self.day["list"]["miss"] / 1000)
        state, since, host_spec = self.endpoints[self.host_ids[host]]
        if (await self.host_pool.command("who"))[self.host_ids[host]]["up"] is False:
            await self.set_endpoint(host, self.host_ids[host], "gone", since, host_spec)

    async def do_return(self, host):
        if host not in self.host_ids:
            return
        [since] = await self.host_pool.command("restart", hosts=[self.host_ids[host]])
        await self.set_endpoint(
            host, self.host_ids[host], "ready", since, self.endpoints[self.host_ids[host]][2]
        )

    async def do_drain(self, host):
        _, since, host_spec = self.endpoints[self.host_ids[host]]
        await self.set_endpoint(host, self.host_ids[host], "draining", since, host_spec)
        await self.host_pool.command("drain", hosts=[self.host_ids[host]])

    async def do_leave(self, host):
        """Stops a host and sets it to gone in the list at once."""
        _, since, host_spec = self.endpoints[self.host_ids[host]]
        await self.host_pool.command("crash", hosts=[self.host_ids[host]])
        await self.set_endpoint(host, self.host_ids[host], "gone", since, host_spec)

    async def do_join(self, host, replaces):
        """Adds a cold host at a new address with the specification of the replaced host."""
        host_spec = self.host_specs[self.replaces[host]]
        address = self.ports.take()
        listen_addresses = [await self.proxied(address)] if self.proxy else None
        [address] = await self.host_pool.command(
            "add", builds=[host_spec], names=[address], cold=True, binds=listen_addresses
        )
        self.host_ids[host] = address
        await self.set_endpoint(host, address, "ready", wall(), host_spec)

    async def do_store(self, **values):
        await self.store.command("set", **values)

    async def do_cut(self, gateways, on):
        """Cuts gateways off from all peers and hosts in both directions, or reconnects them.

        The record names the gateways, because the audit needs to know when which one was cut off.
        """
        for gateway in gateways:
            self.record.add("gateway cut off" if on else "gateway reached", f"g{gateway}")
            await self.proxy.command("set", origin=f"g{gateway}", to="*", both=True, cut=on)

    async def ask_gateway(self, command):
        """Sends an operator's command to the running gateways in turn until one answers within 1 s.

        Returns that answer, or None if no gateway answered.
        """
        for number, (child, _) in sorted(self.gateways.items()):
            if child.process.returncode is not None:
                continue
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_unix_connection(
                        str(self.folder / f"g{number}.control")
                    )
                    writer.write(json.dumps(command).encode() + b"\n")
                    line = await reader.readline()
                    writer.close()
                    if line:
                        return json.loads(line)
            except (OSError, TimeoutError):
                continue
        return None

    async def do_site(self, site, word):
        """Sends an operator's zone drain command and follows a drain until it is over.

        Each change of the state, the wave or the coordinator is recorded as the gateways report it.
        """
        answer = await self.ask_gateway({"do": "site", "what": word, "site": site, "even": True})
        self.record.add("site", fate=word, text=site, function=str((answer or {}).get("error", "")))
        recorded_state = None
        while (
            word == "drain"
            and (progress := await self.ask_gateway({"do": "site", "what": "show", "site": site}))
            is not None
        ):
            current_state = (
                progress.get("state", ""),
                progress.get("wave", 0),
                progress.get("conductor", ""),
            )
            if current_state != recorded_state:
                self.record.add(
                    "site",
                    peer=current_state[2],
                    fate=current_state[0],
                    number=current_state[1],
                    text=site,
                )
                recorded_state = current_state
            if current_state[0] == "over":
                break
            await asyncio.sleep(0.1)

    async def do_kill_conductor(self, back):
        """Kills the coordinator of a zone drain, and no gateway if no drain is running.

        The coordinator starts again after `back` ms.
        """
        for site in self.day["fleet"]["floors"]:
            coordinator = (
                await self.ask_gateway({"do": "site", "what": "show", "site": site}) or {}
            ).get("conductor")
            if coordinator:
                await self.do_kill_gateway(int(coordinator[1:]))
                await asyncio.sleep(back / 1000)
                return await self.do_start_gateway(int(coordinator[1:]))

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
        """Opens `count` additional connections of each office at the running gateways."""
        running = [
            number
            for number, (child, _) in self.gateways.items()
            if child.process.returncode is None
        ]
        await self.crowd.command(
            "come back",
            doors={f"g{number}": self.addresses[number] for number in sorted(running)},
            offices=self.client_sources(),
            count=count,
        )

    async def do_key_change(self, gateways, times):
        """Issues new certificates `times` times, at least 0.4 s apart.

        Before each but the first, the key file is truncated for 0.4 s, as if it were half written.
        """
        for change in range(times):
            for number in gateways:
                if change:
                    key_path = self.folder / "keys" / f"g{number}.key"
                    key_path.write_bytes(key_path.read_bytes()[:80])
            await asyncio.sleep(0.4 if change else 0)
            for number in gateways:
                self.keys.issue("gateway", f"g{number}", addresses=["127.0.0.1"])
            await asyncio.sleep(0.4)

    async def do_release(self, functions, version, bad):
        """Announces a version on the release feed; without a feed, flushes all copies instead."""
        if not self.day["feed"]["gradual"]:
            return await self.do_flush(functions, version)
        if bad:
            await self.host_pool.command(
                "bad", functions=[f"{name}@{version}" for name in functions], **bad
            )
        await self.feed.command("release", functions=functions, version=version)

    def process_and_gateways(self, gateway):
        child, group = self.gateways[gateway]
        return child, group

    async def do_kill_gateway(self, gateway):
        child, group = self.process_and_gateways(gateway)
        if child.process.returncode is None:
            for number in group:
                self.record.add("gateway killed", f"g{number}")
            child.signal(signal.SIGKILL)
            await child.process.wait()

    async def do_start_gateway(self, gateway):
        child, group = self.process_and_gateways(gateway)
        if child.process.returncode is not None and child not in self.replaced:
            # Other gateways of this process may have a start step at the same time. The first step
            # restarts all of them.
            self.replaced.add(child)
            await self.start_gateways(group)

    async def do_stop_gateway(self, gateway):
        child, group = self.process_and_gateways(gateway)
        for number in group:
            self.record.add("gateway stopped", f"g{number}")
        child.signal(signal.SIGSTOP)

    async def do_continue_gateway(self, gateway):
        child, group = self.process_and_gateways(gateway)
        child.signal(signal.SIGCONT)
        for number in group:
            self.record.add("gateway continued", f"g{number}")
