"""The platform's settings, checked key by key before anything is built from them.

A setting that is absent or null is unstated; so is a 0 where no gateway could go by it. An error
names the place of what cannot be used.
"""

from collections.abc import Iterable
from math import isfinite
from typing import Any

MAX_NUMBER = 1e12  # guards against numbers that no later sum can hold
RETRY_SAFETY = ("repeatable", "by_key", "once")
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
SECTION_NUMBERS = {  # the numbers of each section: none is below 0
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
    """Something in the configuration cannot be used.

    Args:
        place: Key, file or environment variable that is wrong.
        problem: What is wrong with it.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


def require(condition: object, place: str, expected: str, found: object) -> None:
    """Raises ConfigurationError where a condition does not hold."""
    if not condition:
        raise ConfigurationError(place, f"{expected} expected, not {str(found)[:80]!r}")


def checked_number(section: dict[str, Any], name: str, place: str, least: float) -> float:
    """Returns a finite number of at least ``least``."""
    value: Any = section.get(name)
    require(
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and isfinite(value)
        and least <= value < MAX_NUMBER,
        f"{place}.{name}",
        f"a number of at least {least:g}",
        value,
    )
    return value  # type: ignore[no-any-return]


def checked_integer(section: dict[str, Any], name: str, place: str, least: float) -> int:
    """Returns a whole number of at least ``least``."""
    value = checked_number(section, name, place, least)
    require(value == int(value), f"{place}.{name}", "a whole number", value)
    return int(value)


def checked_section(section: Any, numbers: Iterable[str], place: str) -> dict[str, Any]:
    """Returns a copy without what is unstated: null, and a 0 that no gateway could go by.

    Args:
        section: The object, which is checked to be one.
        numbers: Names of its numbers, which are checked.
        place: Where it stands.
    """
    require(isinstance(section, dict), place, "an object", section)
    found = {name: value for name, value in section.items() if value is not None}
    for name in numbers:
        if name not in found:
            continue
        if checked_number(found, name, place, 0.0) == 0 and name in ZERO_IS_UNSTATED:
            del found[name]
    return found


def checked_list(settings: dict[str, Any], name: str) -> list[tuple[Any, str]]:
    """Returns the objects of a list that may be absent, each with its place."""
    rows = settings.get(name)
    if rows is None:
        rows = []
    require(isinstance(rows, list), f"settings.{name}", "a list", rows)
    return [(row, f"settings.{name}[{position}]") for position, row in enumerate(rows)]


def require_name(row: dict[str, Any], place: str) -> None:
    """Raises ConfigurationError for an object without a name."""
    name = row.get("name")
    require(isinstance(name, str) and name, f"{place}.name", "a name", name)


def require_one_of(value: object, allowed: tuple[str, ...], place: str) -> None:
    """Raises ConfigurationError for a value that is not allowed."""
    require(value in allowed, place, f"one of {', '.join(allowed)}", value)


def checked_request_class(stated: Any, place: str) -> dict[str, Any]:
    """Returns a request class; its latency objective is its deadline where it states none."""
    row = checked_section(stated, ("aim", "dedupWindow"), place)
    require_name(row, place)
    deadline = checked_number(row, "deadline", place, 1.0)
    require_one_of(row.get("repeat"), RETRY_SAFETY, f"{place}.repeat")
    require_one_of(row.get("dedupScope", "cell"), DEDUPLICATION_SCOPES, f"{place}.dedupScope")
    return {"aim": deadline} | row


def checked_tenant(stated: Any, place: str) -> dict[str, Any]:
    """Returns a tenant."""
    row = checked_section(stated, ("quotaPerS",), place)
    require_name(row, place)
    return row


def checked_settings(stated: Any) -> dict[str, Any]:
    """Returns the settings as the gateway can apply them.

    Raises:
        ConfigurationError: One cannot be used.
    """
    found = checked_section(stated, ("resolution",), "settings")
    found["instances"] = checked_integer(found, "instances", "settings", 1)
    found["me"] = checked_integer(found, "me", "settings", 0)
    for section, numbers in SECTION_NUMBERS.items():
        found[section] = checked_section(found.get(section, {}), numbers, f"settings.{section}")
    if not found["rules"].get("overloadFactor"):
        found["rules"]["fall"] = 0.0  # no multiple, no limit for cold hosts
    found["requestClasses"] = [
        checked_request_class(row, place) for row, place in checked_list(found, "requestClasses")
    ]
    require(found["requestClasses"], "settings.requestClasses", "at least one", "none")
    found["tenants"] = [checked_tenant(row, place) for row, place in checked_list(found, "tenants")]
    return found
