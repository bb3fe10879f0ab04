"""The platform's wires, bytes to messages and back: no I/O, no clock, nothing of other packages."""
