"""Validation of the platform's settings, key by key, before anything is built from them.

A setting that is absent or null counts as not stated, and so does a 0 for settings where 0 would
make the gateway useless. An error names the place of the invalid value.
"""

from collections.abc import Iterable
from math import isfinite
from typing import Any

MAX_NUMBER = 1e12  # larger numbers would overflow later calculations
RETRY_SAFETY = ("repeatable", "by_key", "once")
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
SECTION_NUMBERS = {  # the numeric settings of each section; none may be below 0
    "permissions": ("maxAttempts", "maxRetryAfter", "connIdle", "connectTimeout", "mostHeld"),
    "rules": ("coldFrom", "cold", "overloadFactor", "fall", "drainGrace"),
    "familyInfo": ("lingerIdle", "loadsAnyway", "loadPart", "loadsWithin", "loadWait"),
    "prices": ("handshake",),
}
ZERO_MEANS_UNSTATED = {
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
    """A value in the configuration is missing or invalid.

    Args:
        place: The key, file or environment variable.
        problem: What is wrong with it.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


def require(condition: object, place: str, expected: str, found: object) -> None:
    """Raises ConfigurationError unless the condition holds."""
    if not condition:
        raise ConfigurationError(place, f"{expected} expected, not {str(found)[:80]!r}")


def checked_number(section: dict[str, Any], name: str, place: str, minimum: float) -> float:
    """Returns a finite number of at least ``minimum``."""
    value: Any = section.get(name)
    require(
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and isfinite(value)
        and minimum <= value < MAX_NUMBER,
        f"{place}.{name}",
        f"a number of at least {minimum:g}",
        value,
    )
    return value  # type: ignore[no-any-return]


def checked_integer(section: dict[str, Any], name: str, place: str, minimum: float) -> int:
    """Returns a whole number of at least ``minimum``."""
    value = checked_number(section, name, place, minimum)
    require(value == int(value), f"{place}.{name}", "a whole number", value)
    return int(value)


def checked_section(section: Any, numbers: Iterable[str], place: str) -> dict[str, Any]:
    """Returns a copy without unstated settings: null, and 0 where it means not stated.

    Args:
        section: The section; anything but an object is an error.
        numbers: Names of its numeric settings, which are validated.
        place: Its place in the configuration.
    """
    require(isinstance(section, dict), place, "an object", section)
    found = {name: value for name, value in section.items() if value is not None}
    for name in numbers:
        if name not in found:
            continue
        if checked_number(found, name, place, 0.0) == 0 and name in ZERO_MEANS_UNSTATED:
            del found[name]
    return found


def checked_list(settings: dict[str, Any], name: str) -> list[tuple[Any, str]]:
    """Returns the entries of an optional list, each with its place."""
    rows = settings.get(name)
    if rows is None:
        rows = []
    require(isinstance(rows, list), f"settings.{name}", "a list", rows)
    return [(row, f"settings.{name}[{position}]") for position, row in enumerate(rows)]


def require_name(row: dict[str, Any], place: str) -> None:
    """Raises ConfigurationError if an entry has no name."""
    name = row.get("name")
    require(isinstance(name, str) and name, f"{place}.name", "a name", name)


def require_one_of(value: object, allowed: tuple[str, ...], place: str) -> None:
    """Raises ConfigurationError for a value that is not allowed."""
    require(value in allowed, place, f"one of {', '.join(allowed)}", value)


def checked_request_class(stated: Any, place: str) -> dict[str, Any]:
    """Returns a validated request class; its latency objective defaults to its deadline."""
    row = checked_section(stated, ("aim", "dedupWindow"), place)
    require_name(row, place)
    deadline = checked_number(row, "deadline", place, 1.0)
    require_one_of(row.get("repeat"), RETRY_SAFETY, f"{place}.repeat")
    require_one_of(row.get("dedupScope", "cell"), DEDUPLICATION_SCOPES, f"{place}.dedupScope")
    return {"aim": deadline} | row


def checked_tenant(stated: Any, place: str) -> dict[str, Any]:
    """Returns a validated tenant."""
    row = checked_section(stated, ("quotaPerS",), place)
    require_name(row, place)
    return row


def checked_settings(stated: Any) -> dict[str, Any]:
    """Returns the validated settings, without those that are not stated.

    Raises:
        ConfigurationError: A setting is missing or invalid.
    """
    found = checked_section(stated, ("resolution",), "settings")
    found["instances"] = checked_integer(found, "instances", "settings", 1)
    found["me"] = checked_integer(found, "me", "settings", 0)
    for section, numbers in SECTION_NUMBERS.items():
        found[section] = checked_section(found.get(section, {}), numbers, f"settings.{section}")
    if not found["rules"].get("overloadFactor"):
        # Without a factor there is no overload limit for hosts in slow start.
        found["rules"]["fall"] = 0.0
    found["requestClasses"] = [
        checked_request_class(row, place) for row, place in checked_list(found, "requestClasses")
    ]
    require(found["requestClasses"], "settings.requestClasses", "at least one", "none")
    found["tenants"] = [checked_tenant(row, place) for row, place in checked_list(found, "tenants")]
    return found
