"""The endpoint list of a soak: its changes, in the form that the discovery servers send them."""

from dataclasses import dataclass

from cherrydoor.rehearsal.soak.world import HOST_PORT

LIFECYCLES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


@dataclass(frozen=True)
class Update:
    """A change of one host in the endpoint list; ``revision`` is the list's after the change."""

    revision: int
    host: int
    state: str
    started_at_ms: int


class SoakEndpointList:
    """All changes so far; each gateway sees different addresses for the same hosts.

    Attributes:
        updates: The changes, oldest first. The initial list is revision 1, so that the first change
            is revision 2.
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
            "lifecycle": LIFECYCLES[update.state],
            "weight": 1,
            "startedAtMs": update.started_at_ms,
        }

    def update_event(self, update, gateway):
        roster = {"generation": update.revision, "reset": False}
        roster["instances"] = [self.row(update, gateway)]
        return {"no": update.revision, "roster": roster}

    def snapshot(self, gateway):
        latest = {update.host: update for update in self.updates}
        rows = [
            self.row(latest.get(host.index, Update(0, host.index, "ready", 0)), gateway)
            for host in self.hosts
        ]
        revision = len(self.updates) + 1
        roster = {"generation": revision, "reset": True, "instances": rows}
        return {"no": revision, "items": [{"no": revision, "roster": roster}]}

    def record_change(self, host, state):
        """Adds a state change of one host."""
        started_at_ms = self.hosts[host].started_at_ms
        self.updates.append(Update(len(self.updates) + 2, host, state, started_at_ms))
