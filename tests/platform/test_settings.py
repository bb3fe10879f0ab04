"""Settings that are absent, renamed, null, zero or of another type.

Each must lead either to an error that names its place or to a gateway that serves requests. None
may cause an exception or a gateway that rejects every request.
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
BAD_VALUES = (ABSENT, RENAMED, None, 0, -1, "text", [], {}, float("inf"))


def places(settings, before=()):
    """Yields the place of each setting, as keys and positions."""
    for key, value in settings.items() if isinstance(settings, dict) else enumerate(settings):
        yield (*before, key)
        if isinstance(value, dict | list):
            yield from places(value, (*before, key))


def changed(place, value):
    """Returns the settings with one of them changed."""
    settings = copy.deepcopy(STATED)
    holder = settings
    for key in place[:-1]:
        holder = holder[key]
    if value is ABSENT or value is RENAMED:
        old = holder.pop(place[-1])
        if value is RENAMED and isinstance(holder, dict):
            holder[f"other{place[-1]}"] = old
    else:
        holder[place[-1]] = value
    return settings


def configuration_with(settings):
    """Returns a configuration with these settings."""
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
    """A connection to a host that answers each attempt at once."""

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
    """A client connection that records the outcomes of its requests."""

    def __init__(self):
        self.outcomes = []

    def write(self, message):
        self.outcomes.append(message.outcome)


def outcomes_of(found, request_class):
    """Returns the outcomes of 40 requests, with two warm hosts and one in slow start."""
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
        now_ms = 1000.0 + 50 * number
        dispatcher.post(
            dispatcher.request_received,
            client,
            protocol.Request(
                number, request_class, FUNCTION, 2000.0, now_ms, "acme", "", 4.0, 200.0, b""
            ),
        )
        dispatcher.tick(now_ms)
        for link in dialled:
            dispatcher.post(dispatcher.connection_opened, link, HostWire(dispatcher, link))
        dialled.clear()
        dispatcher.tick(now_ms + 5)
        dispatcher.tick(now_ms + 10)
    return wire.outcomes


@pytest.mark.parametrize("place", list(places(STATED)), ids=lambda place: ".".join(map(str, place)))
def test_an_unusable_setting_is_an_error_with_its_place_or_the_gateway_serves(place):
    for value in BAD_VALUES:
        settings = changed(place, value)
        try:
            found = configuration_with(settings)
        except configuration.ConfigurationError as error:
            names = [key for key in place if isinstance(key, str)]
            assert str(error).startswith("settings") and any(
                name in str(error) for name in names
            ), error
            continue
        assert (
            outcomes_of(found, found.router_settings.request_classes[0].name).count("handled") >= 30
        ), (
            place,
            value,
        )
