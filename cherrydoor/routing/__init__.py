"""The routing decisions of one gateway: which host gets a request, when to retry or reject.

Begin with ``router.Router`` (``start``, then ``take`` for each message); ``messages`` has all types
that go in and out. The package is pure: no I/O, no clock, and all chance is drawn from the seed.
"""

from cherrydoor.routing.router import Router as Router
