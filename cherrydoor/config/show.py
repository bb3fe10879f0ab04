"""Formats plain values as the text of typed records."""

import json

from cherrydoor.config.records import Duration, Size


def show(value, depth=0):
    """Returns text for which `read` returns the same value.

    Args:
        value: The plain value.
        depth: Level of indentation.

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
        indent = "  " * depth
        return "\n".join(
            f"{indent}{show_key(key)}: {show_value(item, depth)}" for key, item in value.items()
        )
    return show_value(value, depth)


def show_key(key):
    """Returns a key, quoted unless it can be written without quotes."""
    is_plain = key[:1].isalpha() and all(c.isalnum() or c in "_-" for c in key)
    return key if is_plain and key not in ("true", "false", "null") else json.dumps(key)


def show_value(value, depth):
    """Returns the text of one value, starting on the current line."""
    indent, inner_indent = "  " * depth, "  " * (depth + 1)
    if isinstance(value, dict):
        return "{\n" + show(value, depth + 1) + f"\n{indent}}}" if value else "{}"
    if isinstance(value, list):
        return (
            "[\n"
            + "".join(f"{inner_indent}{show_value(v, depth + 1)}\n" for v in value)
            + f"{indent}]"
            if value
            else "[]"
        )
    if isinstance(value, Duration):
        return f"{float(value):.15g}ms"
    return f"{int(value)}B" if isinstance(value, Size) else json.dumps(value)
