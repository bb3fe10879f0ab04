"""Admission of client connections: who gets a slot, who waits, who is rejected or closed.

Begin at controller.py, which decides; messages.py is what it takes and gives, listener.py carries
its actions out.
"""
