"""A deployment's settings in the platform's format, for gateways on loopback."""

from typing import Any

SETTINGS: dict[str, Any] = {
    "instances": 1,
    "me": 0,
    "zone": "east",
    "resolution": 1000,
    "discovery": "push",
    "requestClasses": [
        {"name": "draft", "aim": 600000, "deadline": 3000000, "repeat": "repeatable"}
    ],
    "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 100.0}],
    "permissions": {
        "cancel": True,
        "mayProbe": True,
        "maxAttempts": 6,
        "retryAfter": True,
        "maxRetryAfter": 1000000,
        "connIdle": 15000000,
        "connectTimeout": 250000,
        "mostHeld": 20000,
    },
    "rules": {
        "coldFrom": 0.2,
        "cold": 5000000,
        "overloadFactor": 3.0,
        "fall": 3000000,
        "drainGrace": 2000000,
    },
    "familyInfo": {
        "ifCold": "load",
        "lingerIdle": 8000000,
        "loadControl": True,
        "saysWarm": True,
        "saysCompany": True,
        "loadWait": 4000000,
    },
}
