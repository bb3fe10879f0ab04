"""Codecs of the platform's wires, bytes to messages and back. No I/O, clocks or other packages."""
