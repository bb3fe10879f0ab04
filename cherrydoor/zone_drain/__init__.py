"""Drains a zone: its sessions move to other zones in waves by priority, led by a leaseholder.

Begin with ``service.py`` (one gateway's part) and ``coordinator.py`` (when a wave goes out).
"""
