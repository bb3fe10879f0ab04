"""The decisions of one gateway: hashed homes, second workers, overflow, and what guards them.

Called as gate = Gateway(lease), actions = gate.start(now), then actions = gate.take(now, note) for each note,
now being the batch clock in ms. All types are in cherrydoor/routing/messages.py. Every part is an actor whose inbox
one loop empties; others may look at it. Ids are used only at the door.
"""

from cherrydoor.routing.router import Router as Router
