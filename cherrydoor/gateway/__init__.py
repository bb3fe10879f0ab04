"""The daemon: door, floor and list on sockets around the decision module."""
