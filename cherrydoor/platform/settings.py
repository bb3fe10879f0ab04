"""The platform's settings, checked key by key before anything goes by them.

A setting that is absent or null is not stated; so is a 0 where no gateway could go by it. What cannot be used is told
with its place.
"""

from math import isfinite
from typing import Any

REPEATS = ("repeatable", "by_key", "once")
SCOPES = ("all", "zone", "cell")
SECTIONS = {  # the figures of each section: none is below 0
    "permissions": ("maxAttempts", "maxRetryAfter", "connIdle", "connectTimeout", "mostHeld"),
    "rules": ("coldFrom", "cold", "overloadFactor", "fall", "drainGrace"),
    "familyInfo": ("lingerIdle", "loadsAnyway", "loadPart", "loadsWithin", "loadWait"),
    "prices": ("handshake",),
}
ZERO_IS_UNSTATED = {
    "maxAttempts",
    "connIdle",
    "connectTimeout",
    "mostHeld",
    "loadWait",
    "resolution",
    "quotaPerS",
    "aim",
}


class ConfigurationError(Exception):
    """What is wrong with the configuration, with the key's place."""


def need(good, place, expected, found):
    if not good:
        raise ConfigurationError(f"{place}: {expected} expected, not {str(found)[:80]!r}")


def number(said, name, place, least):
    value = said.get(name)
    need(
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and isfinite(value)
        and least <= value < 1e12,
        f"{place}.{name}",
        f"a number of at least {least:g}",
        value,
    )
    return value


def whole(said, name, place, least):
    value = number(said, name, place, least)
    need(value == int(value), f"{place}.{name}", "a whole number", value)
    return int(value)


def stated(said, names, place):
    """A copy without what is null, and without a 0 that means that nothing is stated; the named figures are checked."""
    need(isinstance(said, dict), place, "an object", said)
    found = {name: value for name, value in said.items() if value is not None}
    for name in names:
        if name in found and number(found, name, place, 0.0) == 0 and name in ZERO_IS_UNSTATED:
            del found[name]
    return found


def listed(said, name):
    """The objects of a list that may be absent, each with its place."""
    rows = said.get(name)
    rows = [] if rows is None else rows
    need(isinstance(rows, list), f"settings.{name}", "a list", rows)
    return [(row, f"settings.{name}[{at}]") for at, row in enumerate(rows)]


def named(row, place):
    need(
        isinstance(row.get("name"), str) and row["name"], f"{place}.name", "a name", row.get("name")
    )


def request_class(said, place):
    """Without a target of its own a class's target is its deadline."""
    row = stated(said, ("aim", "dedupWindow"), place)
    named(row, place)
    deadline = number(row, "deadline", place, 1.0)
    need(
        row.get("repeat") in REPEATS,
        f"{place}.repeat",
        f"one of {', '.join(REPEATS)}",
        row.get("repeat"),
    )
    need(
        row.get("dedupScope", "cell") in SCOPES,
        f"{place}.dedupScope",
        f"one of {', '.join(SCOPES)}",
        row.get("dedupScope"),
    )
    return {"aim": deadline} | row


def tenant(said, place):
    row = stated(said, ("quotaPerS",), place)
    named(row, place)
    return row


def checked(said):
    """The settings as they can be gone by."""
    found: dict[str, Any] = stated(said, ("resolution",), "settings")
    found["instances"] = whole(found, "instances", "settings", 1)
    found["me"] = whole(found, "me", "settings", 0)
    for section, names in SECTIONS.items():
        found[section] = stated(found.get(section, {}), names, f"settings.{section}")
    if not found["rules"].get("overloadFactor"):
        found["rules"]["fall"] = 0.0  # no multiple, no limit for cold hosts
    found["requestClasses"] = [request_class(*row) for row in listed(found, "requestClasses")]
    need(found["requestClasses"], "settings.requestClasses", "at least one", "none")
    found["tenants"] = [tenant(*row) for row in listed(found, "tenants")]
    return found
