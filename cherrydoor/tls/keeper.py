"""Keys in use: looks at the files, asks decide.py what to take up, and says who a peer is."""

import asyncio
import os
import ssl
import time

import jwt
import structlog
from cryptography import x509

from cherrydoor.tls import decide as d
from cherrydoor.tls import files
from cherrydoor.tls.make import AUDIENCE

log = structlog.get_logger()
SOON = 0.1  # s between looks at keys that are not good at a start


class NotProved(ValueError):
    """What a peer shows does not hold; says why."""


class Where:
    """The files that a lease names ("" for none), whether clients are asked for certificates (ask, need or none),
    whether hosts are met with TLS, and how often the files are looked at, in ms."""

    def __init__(
        self,
        certificate="",
        key="",
        authorities="",
        revoked="",
        tokens="",
        clients="ask",
        hosts=False,
        look=1000.0,
        usage=None,
        settle=0.0,
    ):
        self.settle = settle  # ms for which a start bears files that are just being replaced
        self.certificate, self.key, self.authorities, self.revoked = (
            certificate,
            key,
            authorities,
            revoked,
        )
        self.tokens, self.clients, self.hosts, self.look = tokens, clients, hosts, look
        self.usage = usage or d.Usage()

    def named(self):
        return [
            path
            for path in (self.certificate, self.key, self.authorities, self.revoked, self.tokens)
            if path
        ]


class Keeper:
    """The keys of one gateway. start() raises BadKeys where what there is at the start is not good; later faults are
    logged, and the old keys stay."""

    def __init__(self, where, put_out, wall=lambda: time.time() * 1000):
        self.where, self.put_out, self.wall = where, put_out, wall
        self.ring, self.material, self.seen, self.timer = d.Ring(where.usage), {}, None, None
        self.server = self.client = self.peer = None
        self.trusted, self.token_keys = (), {}
        self.chain = b"", b""  # certificates and key in service

    @property
    def sealed(self):
        """Whether the door speaks TLS."""
        return bool(self.where.certificate)

    async def start(self):
        """Guards against a start in the moment in which a pair is replaced, file after file: it would end as bad
        keys do, though they are good a moment later. Harms by a later word on keys that stay bad."""
        loop = asyncio.get_running_loop()
        last = loop.time() + self.where.settle / 1000
        while refused := self.look(True):
            left = last - loop.time()
            if left <= 0:
                raise files.BadKeys(f"{refused[0].part}: {refused[0].why}")
            await asyncio.sleep(min(left, SOON, self.where.look / 1000))
        if self.where.named():
            self.timer = asyncio.get_running_loop().call_later(self.where.look / 1000, self.again)

    def again(self):
        self.timer = asyncio.get_running_loop().call_later(self.where.look / 1000, self.again)
        self.look()
        self.post(d.Tick())

    def close(self):
        if self.timer is not None:
            self.timer.cancel()

    def marks(self):
        """What tells that a file has been changed, without reading it."""
        found = []
        for path in self.where.named():
            try:
                said = os.stat(path)
                found.append((said.st_mtime_ns, said.st_size, said.st_ino))
            except OSError as error:
                found.append((error.errno or 0, 0, 0))
        return found

    def look(self, whole=False):
        """Reads what has changed; those that were refused, as Keep actions."""
        seen = self.marks()
        if seen == self.seen and not whole:
            return []
        self.seen, refused, where = seen, [], self.where
        offers = (
            ("pair", where.certificate, lambda: files.pair(where.certificate, where.key)),
            ("authorities", where.authorities, lambda: files.authorities(where.authorities)),
            ("revoked", where.revoked, lambda: files.revoked(where.revoked, self.trusted)),
            ("tokens", where.tokens, lambda: files.tokens(where.tokens)),
        )
        for part, path, read in offers:
            if not path:
                continue
            try:
                mark, what, *self.material[part] = read()
                note = d.Offered(part, mark, what)
            except files.BadKeys as error:
                note = d.Offered(part, "", None, str(error))
            refused += [action for action in self.post(note) if isinstance(action, d.Keep)]
        return refused

    def post(self, note):
        actions = self.ring.take(self.wall(), note)
        for action in actions:
            kind = type(action)
            if kind is d.TakeUp:
                self.take_up(action.part)
            elif kind is d.Keep:
                log.error("keys are refused, the old ones stay", part=action.part, why=action.why)
            elif kind is d.Warn:
                (log.warning if action.left > 0 else log.error)(
                    "a key ends soon" if action.left > 0 else "a key has ended",
                    key=action.what,
                    days=round(action.left / 86400000, 2),
                )
            elif kind is d.PutOut:
                self.put_out(action.connection, action.why, action.at_once)
        return actions

    def take_up(self, part):
        material, where = self.material[part], self.where
        if part == "authorities":
            self.trusted = tuple(material[0])
        elif part == "tokens":
            self.token_keys = material[0]
        elif part == "pair":
            self.chain = material[0], material[1]
        log.info("keys are in service", part=part)
        if part in ("pair", "authorities") and self.ring.serving("pair") is not None:
            ask = {"ask": ssl.CERT_OPTIONAL, "need": ssl.CERT_REQUIRED, "none": ssl.CERT_NONE}[
                where.clients
            ]
            self.server = files.context(True, *self.chain, self.trusted, ask)
            self.peer = files.context(False, *self.chain, self.trusted)
        if part in ("pair", "authorities") and where.hosts:
            self.client = files.context(False, *self.chain, self.trusted)

    # ---- who is there
    def identify(self, transport, token):
        """(office or "", Joined facts) of a peer; NotProved where what it shows does not hold."""
        office, facts = "", {}
        sealed = transport.get_extra_info("ssl_object")
        shown = sealed.getpeercert(True) if sealed is not None else None
        if shown:
            certificate = x509.load_der_x509_certificate(shown)
            by = files.issuer(certificate, self.trusted)
            office = files.name_of(certificate.subject)
            facts = {
                "serial": files.serial_of(certificate),
                "authority": files.id_of(by) if by else "",
                "until": files.ms(certificate.not_valid_after_utc),
            }
            if by is None:
                raise NotProved("the authority of this certificate is in service no more")
            if self.ring.void(facts["authority"], facts["serial"]):
                raise NotProved("this certificate is revoked")
        if token:
            said, until = self.believe(token)
            if office and said != office:
                raise NotProved("certificate and token speak for different clients")
            office, facts = (
                said,
                facts | {"token": self.kid(token), "until": min(until, facts.get("until", until))},
            )
        return office, facts

    def kid(self, token):
        try:
            return str(jwt.get_unverified_header(token).get("kid", ""))
        except jwt.exceptions.PyJWTError:
            raise NotProved("this is no token") from None

    def believe(self, token):
        """(office, its end in ms) that a token speaks for."""
        kid = self.kid(token)
        if kid not in self.token_keys:
            raise NotProved("the key of this token is not in service")
        try:
            said = jwt.decode(
                token,
                self.token_keys[kid],
                ["EdDSA"],
                {"require": ["exp", "sub", "aud"], "verify_exp": False, "verify_iat": False},
                audience=AUDIENCE,
            )
        except jwt.exceptions.PyJWTError as error:
            raise NotProved(f"this token does not hold: {error}") from None
        until = float(said["exp"]) * 1000
        if until <= self.wall():
            raise NotProved("this token has ended")
        if not self.ring.believes(kid, said["sub"]):
            raise NotProved("the key of this token may not speak for this client")
        return said["sub"], until
