"""Plain values back to the text of typed records."""

import json

from cherrydoor.config.records import Duration, Size


def show(value, depth=0):
    """Text that read() gives the same value for.

    >>> print(show({"a": [1, {"b": None}], "c-d": "x"}))
    a: [
      1
      {
        b: null
      }
    ]
    c-d: "x"
    """
    if isinstance(value, dict):
        pad = "  " * depth
        return "\n".join(f"{pad}{name(key)}: {inner(item, depth)}" for key, item in value.items())
    return inner(value, depth)


def name(key):
    plain = key[:1].isalpha() and all(c.isalnum() or c in "_-" for c in key)
    return key if plain and key not in ("true", "false", "null") else json.dumps(key)


def inner(value, depth):
    pad, below = "  " * depth, "  " * (depth + 1)
    if isinstance(value, dict):
        return "{\n" + show(value, depth + 1) + f"\n{pad}}}" if value else "{}"
    if isinstance(value, list):
        return (
            "[\n" + "".join(f"{below}{inner(v, depth + 1)}\n" for v in value) + f"{pad}]"
            if value
            else "[]"
        )
    if isinstance(value, Duration):
        return f"{float(value):.15g}ms"
    return f"{int(value)}B" if isinstance(value, Size) else json.dumps(value)
