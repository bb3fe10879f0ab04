"""The wire between clients, gateways, hosts, store and list: length-prefixed MessagePack, no I/O."""
