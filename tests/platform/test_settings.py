"""Settings that are absent, renamed, null, zero or of another type.

Each ends in an error that names its place or in a gateway that serves; none in a fault, and none
in a gateway that serves nobody.
"""

import copy

import pytest
from platform_harness import FUNCTION, SETTINGS

from cherrydoor.gateway.dispatcher import Dispatcher
from cherrydoor.gateway.tables import ClientConnection
from cherrydoor.platform import configuration
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import Router

STATED = copy.deepcopy(SETTINGS) | {"prices": {"handshake": 0.1}, "zones": ["east"]}
STATED["requestClasses"][0] |= {"dedupScope": "all", "dedupWindow": 4000000}
STATED["familyInfo"] |= {"loadsAnyway": 4, "loadPart": 0.2, "loadsWithin": 5000000}
ABSENT, RENAMED = object(), object()
MADE = (ABSENT, RENAMED, None, 0, -1, "text", [], {}, float("inf"))


def places(said, before=()):
    """The place of each setting, as keys and positions."""
    for key, value in said.items() if isinstance(said, dict) else enumerate(said):
        yield (*before, key)
        if isinstance(value, dict | list):
            yield from places(value, (*before, key))


def changed(place, value):
    said = copy.deepcopy(STATED)
    holder = said
    for key in place[:-1]:
        holder = holder[key]
    if value is ABSENT or value is RENAMED:
        old = holder.pop(place[-1])
        if value is RENAMED and isinstance(holder, dict):
            holder[f"other{place[-1]}"] = old
    else:
        holder[place[-1]] = value
    return said


def station(settings):
    return configuration.Configuration(
        {
            "name": "n1",
            "listen": "127.0.0.1:1",
            "seed": "8c",
            "bulletin": "127.0.0.1:2",
            "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"no": 0, "items": []},
        },
        None,
        1024,
    )


class HostWire:
    """Answers each attempt at once."""

    def __init__(self, dispatcher, link):
        self.dispatcher, self.link = dispatcher, link

    def write(self, message):
        if type(message) is protocol.Attempt:
            self.dispatcher.post(
                self.dispatcher.host_replied,
                self.link,
                protocol.AttemptResult(message.id, "handled", 1, 2, None, b""),
            )

    def close(self, reason):
        pass


class ClientWire:
    def __init__(self):
        self.answers = []

    def write(self, message):
        self.answers.append(message.outcome)


def answers_of(found, kind):
    """Returns outcomes of 40 requests under these settings, with two warm hosts and a cold one."""
    dialled, wire = [], ClientWire()
    dispatcher = Dispatcher(Router(found.router_settings), found.limits, dialled.append, 1000.0)
    dispatcher.post(
        dispatcher.endpoints_updated,
        "whole",
        [
            protocol.Endpoint(name, "ready", since, "east", 0)
            for name, since in (("a", 0.0), ("b", 0.0), ("c", 900.0))
        ],
    )
    client = ClientConnection(wire)
    for number in range(40):
        now = 1000.0 + 50 * number
        dispatcher.post(
            dispatcher.request_received,
            client,
            protocol.Request(number, kind, FUNCTION, 2000.0, now, "acme", "", 4.0, 200.0, b""),
        )
        dispatcher.tick(now)
        for link in dialled:
            dispatcher.post(dispatcher.connection_opened, link, HostWire(dispatcher, link))
        dialled.clear()
        dispatcher.tick(now + 5)
        dispatcher.tick(now + 10)
    return wire.answers


@pytest.mark.parametrize("place", list(places(STATED)), ids=lambda place: ".".join(map(str, place)))
def test_an_unusable_setting_is_an_error_with_its_place_or_the_gateway_serves(place):
    for value in MADE:
        settings = changed(place, value)
        try:
            found = station(settings)
        except configuration.ConfigurationError as error:
            names = [key for key in place if isinstance(key, str)]
            assert str(error).startswith("settings") and any(
                name in str(error) for name in names
            ), error
            continue
        assert (
            answers_of(found, found.router_settings.request_classes[0].name).count("handled") >= 30
        ), (
            place,
            value,
        )
