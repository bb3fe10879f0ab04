"""The gateway: connects clients, hosts and the endpoint list over sockets to the router.

Start reading at `daemon.main`, which runs the process. `service.GatewayService` is one gateway in
it, and every request passes through its `dispatcher.Dispatcher`.
"""
