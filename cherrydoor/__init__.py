"""cherrydoor: a router for functions that hosts load on demand."""
