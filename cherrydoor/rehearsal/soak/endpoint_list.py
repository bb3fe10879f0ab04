"""The endpoint list of a soak: the changes so far, as each gateway's discovery server tells them."""

from dataclasses import dataclass

from cherrydoor.rehearsal.soak.world import HOST_PORT

STATES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


@dataclass(frozen=True)
class Update:
    """A change of the endpoint list."""

    number: int
    host: int
    state: str
    started_at_ms: int


class SoakEndpointList:
    """All changes so far; a gateway gets addresses of its own.

    Attributes:
        updates: The changes, oldest first; the first list is revision 1.
    """

    def __init__(self, hosts):
        self.hosts = hosts
        self.updates = []

    def row(self, update, gateway):
        host = self.hosts[update.host]
        return {
            "instanceId": host.name,
            "hostPort": f"{host.address(gateway)}:{HOST_PORT}",
            "zone": "east",
            "machineType": "std",
            "cell": 0,
            "lifecycle": STATES[update.state],
            "weight": 1,
            "startedAtMs": update.started_at_ms,
        }

    def event(self, update, gateway):
        roster = {"generation": update.number, "reset": False}
        roster["instances"] = [self.row(update, gateway)]
        return {"no": update.number, "roster": roster}

    def snapshot(self, gateway):
        latest = {update.host: update for update in self.updates}
        rows = [
            self.row(latest.get(host.index, Update(0, host.index, "ready", 0)), gateway)
            for host in self.hosts
        ]
        number = len(self.updates) + 1
        roster = {"generation": number, "reset": True, "instances": rows}
        return {"no": number, "items": [{"no": number, "roster": roster}]}

    def change(self, host, state):
        """Adds a change of one host."""
        started_at_ms = self.hosts[host].started_at_ms
        self.updates.append(Update(len(self.updates) + 2, host, state, started_at_ms))
