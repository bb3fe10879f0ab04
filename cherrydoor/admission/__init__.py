"""Admission of client connections: who gets a slot, who waits, who is rejected or closed.

Start reading at controller.py, which makes the decisions. messages.py defines its inputs and the
actions that it returns; listener.py carries those actions out.
"""
