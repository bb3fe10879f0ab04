"""The platform's wires, bytes to notes and back: no I/O, no clock, and nothing of ours but this package."""
