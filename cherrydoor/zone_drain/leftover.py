"""Whether a site is empty by its hosts' own count, when no gateway has anything in hand there any more. Pure.

A gateway's word tells of what it knows to be out. A host also has what a lost gateway left, what came from one that
nobody hears, and what an order to load began. A site is empty when each of its hosts said twice, a while apart, that it
has nothing in hand, and that nothing came between. Times are ms.
"""

APART = 1000.0  # ms between the two words of a host
AGAIN = 500.0  # ms after which a host is asked again
AT_ONCE = 32  # hosts asked within that time: each may need a connection, and descriptors are few


class Word:
    """since: when the first of its words came that nothing has come after; None while it has something in hand."""

    def __init__(self):
        self.asked, self.in_hand, self.came, self.since, self.by, self.said = (
            -1e18,
            0,
            None,
            None,
            [],
            False,
        )


class Leftover:
    """hosts(): names of the site's hosts in the list now, draining ones too; None where no list is known here."""

    def __init__(self, hosts):
        self.hosts, self.words, self.known = hosts, {}, False

    def ask(self, now):
        """Hosts that are to be asked now; what is no longer listed is forgotten."""
        listed = self.hosts()
        self.known = listed is not None
        if listed is None:
            return []
        self.words = {name: self.words.get(name) or Word() for name in listed}
        due = sorted(
            (name for name in listed if now - self.words[name].asked >= AGAIN),
            key=lambda name: self.words[name].asked,
        )[: AT_ONCE - (len(listed) - sum(now - one.asked >= AGAIN for one in self.words.values()))]
        for name in due:
            self.words[name].asked = now
        return due

    def said(self, now, host, word):
        """word: (in hand, launches ever, names of gateways whose work it has, or ended
        in the last second), None where it did not say."""
        one = self.words.get(host)
        if one is None:
            return
        one.said = word is not None
        if word is None:
            one.since = None
            return
        in_hand, came, by = word
        if in_hand or came != one.came or one.since is None:
            one.since = None if in_hand else now
        one.in_hand, one.came, one.by = in_hand, came, list(by)

    def empty(self, now):
        """By the word of every host. Who has no list knows of no host, and of none that is empty."""
        return self.known and all(
            one.said and one.since is not None and now - one.since >= APART
            for one in self.words.values()
        )

    def why(self):
        """What it waits for, for people."""
        if not self.known:
            return "no list of hosts is known to who conducts"
        silent = [name for name, one in self.words.items() if not one.said]
        busy = [
            f"{name} has {one.in_hand} in hand, of {' '.join(one.by)}"
            for name, one in self.words.items()
            if one.by
        ]
        if busy:
            return "hosts still get work: " + ", ".join(busy[:3])
        return f"hosts that do not say what they have: {' '.join(silent[:3])}" if silent else ""
