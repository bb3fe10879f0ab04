"""Who is let in at the doors of a gateway. decide.py decides, listener.py has the sockets."""
