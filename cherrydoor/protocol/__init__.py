"""Our own wire, sans-I/O: length-prefixed MessagePack messages, typed, versioned and bounded.

Begin with `messages` (clients, hosts, endpoint list, release feed); `codec` turns them into bytes.
"""
