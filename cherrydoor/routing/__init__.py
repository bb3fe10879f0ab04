"""The routing decisions of one gateway: which host gets a request, when to retry or reject.

The entry point is ``router.Router``: call ``start``, then ``take`` for each message. ``messages``
defines all incoming and outgoing types. The package is pure: it does no I/O, reads no clock, and
derives all random numbers from the seed.
"""

from cherrydoor.routing.router import Router as Router
