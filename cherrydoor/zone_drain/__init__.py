"""Drains a zone: its sessions move to other zones in waves by priority, under a coordinator.

The coordinator is the gateway that holds the zone's lease; every gateway is a participant.
Start reading at ``service.py`` (what each gateway does) and ``coordinator.py`` (when a wave is
announced).
"""
