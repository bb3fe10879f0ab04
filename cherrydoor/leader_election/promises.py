"""A keeper's promises on disk: one small file, checksummed, synced before any answer that depends on it leaves."""

import asyncio
import os
from concurrent.futures import ThreadPoolExecutor
from hashlib import blake2b
from pathlib import Path

import msgspec
import structlog

from cherrydoor.leader_election.decide import Promises

log = structlog.get_logger()
MARK = b"cherrydoor promises 1\n"
LONGEST = 16 * 2**20  # bytes; a keeper remembers at most MOST tasks by name


class Unsound(ValueError):
    """The file is not what this keeper had written."""


def seal(name, promises):
    """The bytes of a file: a line of its kind, one with the digest of all that follows, then what is kept.

    >>> unseal("k1", seal("k1", Promises(7))).floor
    7
    """
    body = msgspec.json.encode({"keeper": name, "promises": promises})
    return MARK + blake2b(body, digest_size=16).hexdigest().encode() + b"\n" + body


def unseal(name, data):
    """The promises; Unsound where bytes have changed, or where they are another keeper's."""
    kind, _, rest = data.partition(b"\n")
    digest, _, body = rest.partition(b"\n")
    if kind + b"\n" != MARK:
        raise Unsound("it is of no kind that is known here")
    if blake2b(body, digest_size=16).hexdigest().encode() != digest:
        raise Unsound("its checksum does not hold")
    try:
        said = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        if msgspec.json.decode(said["keeper"]) != name:
            raise Unsound("it is another keeper's")
        return msgspec.json.decode(said["promises"], type=Promises)
    except (msgspec.MsgspecError, KeyError) as error:
        raise Unsound(str(error)) from None


def sync(path, data):
    """Whole or not at all, and on the disk when it returns."""
    new = path.with_name(path.name + ".new")
    with new.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class File:
    """Reads once, then writes on a thread of its own: what is asked for meanwhile is written together, next."""

    def __init__(self, path, name):
        self.path, self.name, self.loop = Path(path), name, asyncio.get_running_loop()
        self.thread, self.waiting, self.writing, self.failed = (
            ThreadPoolExecutor(1),
            [],
            False,
            False,
        )

    def read(self):
        """The promises, or None where there are none or none that can be believed; the reason is logged, and a file
        that is not sound is set aside."""
        try:
            if self.path.stat().st_size > LONGEST:
                raise Unsound(f"it is longer than {LONGEST} bytes")
            return unseal(self.name, self.path.read_bytes())
        except FileNotFoundError:
            log.warning("no promises are here: silent for the longest term", file=str(self.path))
        except OSError as error:
            log.error(
                "promises cannot be read: silent for the longest term",
                file=str(self.path),
                error=str(error),
            )
        except Unsound as error:
            aside = self.path.with_name(self.path.name + ".unsound")
            log.error(
                "promises are not sound and are set aside: silent for the longest term",
                file=str(aside),
                error=str(error),
            )
            try:
                self.path.replace(aside)
            except OSError:
                pass
        return None

    def save(self, promises, then):
        """then() once these promises, or later ones, are on disk; never where that fails."""
        self.waiting.append((seal(self.name, promises), then))
        if not self.writing:
            self.write()

    def write(self):
        batch, self.waiting, self.writing = self.waiting, [], True
        future = self.loop.run_in_executor(self.thread, sync, self.path, batch[-1][0])
        future.add_done_callback(lambda done: self.written(done, batch))

    def written(self, done, batch):
        self.writing = False
        if done.cancelled():
            return
        if error := done.exception():
            if not self.failed:
                log.error(
                    "promises cannot be written: nothing is granted",
                    file=str(self.path),
                    error=str(error),
                )
            self.failed = True
        else:
            self.failed = False
            for _, then in batch:
                then()
        if self.waiting:
            self.write()

    def close(self):
        self.thread.shutdown(wait=False)
