"""Releases that take a share of the events while they prove themselves. decide.py decides, proof.py weighs evidence,
keep.py keeps what has to outlive a start."""
