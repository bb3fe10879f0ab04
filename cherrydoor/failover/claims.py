"""Answers of estates, kept for whoever may claim them. Pure: no sockets, no clock."""

from collections import Counter

BYTES = 16 * 2**20  # of answers kept; beyond it the oldest goes first
LATER = (
    2000.0  # ms after a client's time for which its answer is still kept: clocks and ways differ
)


class Row:
    """An event of an estate here: its own key, the mark of what may not run beside it, and its answer once known."""

    __slots__ = ("key", "mark", "until", "answer", "waiting")

    def __init__(self, key, mark, until):
        self.key, self.mark, self.until, self.answer, self.waiting = key, mark, until, None, []


class Claims:
    """Rows by (giver, life, event, client); each goes when its client's time is over, and with it its names: rows by
    (giver, life, event), as clients give themselves ids, and by (giver, life, mark)."""

    def __init__(self, size=BYTES):
        self.size, self.bytes, self.rows, self.names, self.counters = size, 0, {}, {}, Counter()

    def expect(self, giver, incarnation, line, mark=b""):
        trust = line.trust
        key = giver, incarnation, trust.event, trust.client
        if key in self.rows:
            self.forget(key)
        self.rows[key] = Row(trust.key, mark, line.until)
        for name in self.named(key):
            self.names.setdefault(name, {})[key] = True

    def named(self, key):
        giver, incarnation, event, _ = key
        mark = self.rows[key].mark
        return [(giver, incarnation, event), *([(giver, incarnation, mark)] if mark else [])]

    def answer(self, giver, incarnation, line, answer):
        """Those who wait for it, to be told; nobody where it was answered before."""
        row = self.rows.get((giver, incarnation, line.trust.event, line.trust.client))
        if row is None or row.answer is not None:
            return []
        row.answer, waiting, row.waiting = answer, row.waiting, []
        self.bytes += len(answer.body)
        while self.bytes > self.size:
            oldest = next(
                (k for k, r in self.rows.items() if r.answer is not None and r is not row), None
            )
            if oldest is None:
                break
            self.counters["answers left out"] += 1
            self.forget(oldest)
        return waiting

    def claim(self, giver, incarnation, event, key, who, mark=b""):
        """(known, its answer or None while it is awaited). By id, or by mark for a plain repeat; without the event's
        own key nobody hears more than no. An answer can be claimed again: the way back may fail once more."""
        for one in self.names.get((giver, incarnation, mark or event), ()):
            row = self.rows[one]
            if key and row.key == key:
                self.counters["claimed"] += 1
                if row.answer is None:
                    row.waiting.append(who)
                return True, row.answer
        self.counters["claims of what is not known"] += 1
        return False, None

    def forget(self, key):
        for name in self.named(key):
            del self.names[name][key]
            if not self.names[name]:
                del self.names[name]
        row = self.rows.pop(key)
        self.bytes -= len(row.answer.body) if row.answer else 0

    def tick(self, now):
        for key in [k for k, row in self.rows.items() if row.until + LATER < now]:
            self.forget(key)
