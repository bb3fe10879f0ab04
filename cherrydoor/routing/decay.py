"""What every part of the decisions is made of: an inbox, and figures that age by themselves."""

from collections import deque

WINDOW = 2000  # counts halve each window


class DecayingValue:
    """A figure that halves each window towards a rest, so that what it tells ages by itself."""

    def __init__(self, at=0.0, value=0.0, half=WINDOW):
        self.at, self.value, self.half = at, value, half

    def read(self, now, rest=0.0):
        return rest + 0.5 ** ((now - self.at) / self.half) * (self.value - rest)

    def add(self, now, what):
        self.at, self.value = now, self.read(now) + what

    def mean(self, now, figure, least, rest):
        """As a mean: the longer nothing was told, the more the next figure counts."""
        part, old = max(least, 1 - 0.5 ** ((now - self.at) / WINDOW)), self.read(now, rest)
        self.at, self.value = now, old + part * (figure - old)


class Actor:
    def __init__(self, loop):
        self.loop, self.inbox = loop, deque()

    def post(self, note, *what):
        self.inbox.append((note, what))
        self.loop.append(self)
