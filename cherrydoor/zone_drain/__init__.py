"""A site drained by steering its sessions to neighbours, in waves by priority, under a tenure."""
