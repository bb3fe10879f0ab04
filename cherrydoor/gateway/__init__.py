"""The gateway: clients, hosts and the endpoint list on sockets around the routing decisions.

Begin at `daemon.main`, which runs the process; `service.GatewayService` is one gateway in it, and
`dispatcher.Dispatcher` is what every request passes through.
"""
