"""Stand-ins of the second review: hosts, discovery, clients, and the gateway's process."""
