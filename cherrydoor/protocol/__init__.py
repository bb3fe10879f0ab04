"""This project's own protocol: typed, length-prefixed MessagePack messages of limited size.

The package does no I/O. Start reading at `messages` (clients, hosts, endpoint list, release feed);
`codec` encodes and decodes the frames.
"""
