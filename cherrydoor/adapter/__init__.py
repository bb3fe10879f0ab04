"""Adapter to the simulator's line protocol on standard input and output; it makes no decisions."""
