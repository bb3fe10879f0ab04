"""A client that sends messages at full speed; a process of its own, as it keeps a core busy.

python flooding_client.py PORT MANNER KIND CONNECTIONS SECONDS
"""

import contextlib
import os
import socket
import sys
import threading
import time

from platform_messages import PROBE, call

MESSAGES_AT_ONCE = 500
RECONNECT_PAUSE_S = 0.001
READ_TIMEOUT_S = 3.0


def new_number():
    return os.urandom(8).hex()


# What a message of each kind is; each is made anew.
MESSAGES = {
    "probes": lambda: PROBE,
    "requests": lambda: call(new_number()),
    "requests of new functions": lambda: call(new_number(), function=new_number()),
    "requests without time": lambda: call(new_number(), timeout_ms="1"),
    "requests of unknown classes": lambda: call(new_number(), request_class=new_number()),
    "requests with one id": lambda: call("ffffffffffffffaa"),
    "unreadable heads": lambda: new_number().encode() + b"\r\n\r\n",
}


class Flood:
    """Connections that send at full speed until a time, read all answers, and come again.

    Args:
        port: Port of the gateway.
        kind: Name of the messages.
        ends_at_s: When the flood ends, in s of the monotonic clock.
    """

    def __init__(self, port, kind, ends_at_s):
        self.port, self.make_message, self.ends_at_s = port, MESSAGES[kind], ends_at_s

    def is_over(self):
        return time.monotonic() >= self.ends_at_s

    def run(self):
        """Opens one connection after the other."""
        while not self.is_over():
            try:
                with socket.create_connection(("127.0.0.1", self.port), READ_TIMEOUT_S) as sock:
                    self.send_without_waiting(sock)
            except OSError:
                time.sleep(RECONNECT_PAUSE_S)

    def send_without_waiting(self, sock):
        """Sends until the connection ends, while another thread reads."""
        reader = threading.Thread(target=self.read_all, args=(sock,), daemon=True)
        reader.start()
        while not self.is_over():
            sock.sendall(b"".join(self.make_message() for _ in range(MESSAGES_AT_ONCE)))

    @staticmethod
    def read_all(sock):
        """Reads until the gateway closes, then ends the sending as well."""
        with contextlib.suppress(OSError):
            while sock.recv(1 << 16):
                pass
            sock.shutdown(socket.SHUT_RDWR)


class PoliteFlood(Flood):
    """Waits for all answers to what it has sent before it sends the next messages at full speed."""

    messages_at_once = 50

    def send_without_waiting(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while not self.is_over():
            sock.sendall(b"".join(self.make_message() for _ in range(self.messages_at_once)))
            answers = 0
            while answers < self.messages_at_once:
                data = sock.recv(1 << 16)
                if not data:
                    return
                answers += data.count(b"HTTP/1.1 ")


class SingleFlood(PoliteFlood):
    """Waits for the answer to each message."""

    messages_at_once = 1


FLOODS = {"unread": Flood, "batches": PoliteFlood, "single": SingleFlood}


def main(port, manner, kind, connections, seconds):
    ends_at_s = time.monotonic() + float(seconds)
    threads = [
        threading.Thread(target=FLOODS[manner](int(port), kind, ends_at_s).run, daemon=True)
        for _ in range(int(connections))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(float(seconds) + READ_TIMEOUT_S)


if __name__ == "__main__":
    main(*sys.argv[1:])
