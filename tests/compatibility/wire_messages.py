"""One table of messages, built by position: golden id -> message.

A golden id is the tag that the message has on the wire, then `full` where every field that has a
default differs from it, or `least` where only the required fields are given. No id names a class.
"""

from cherrydoor.protocol import basics, messages, peers
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import zone_drain as site

FULL_ROW = messages.Row("10.0.0.1:4001", "draining", 1700000000000.5, "zone-1", 3)
LEAST_ROW = messages.Row("10.0.0.2:4001", "ready")
GONE_ROW = messages.Row("10.0.0.3:4001", "gone")
FULL_RELEASE = messages.Release("deed-00001", 2, "withdrawn")
LEAST_RELEASE = messages.Release("deed-00002", 3)
COMPLETE_RELEASE = messages.Release("deed-00003", 4, "complete")
FULL_MEMBER = peers.Member("g1", 11, "10.0.1.1:5001", "zone-1", True, "vanished", 9)
LEAST_MEMBER = peers.Member("g2", 12)
FULL_TRUST = peers.Trust(
    1,
    2,
    "harbour",
    "draft",
    "deed-00001",
    750.5,
    "tenant-1",
    "mark-1",
    "key-1",
    "document-1",
    2.5,
    90.25,
    b"\x00body",
)
LEAST_TRUST = peers.Trust(3, 4, "meadow", "sign-off", "deed-00002", 1000.0)
FULL_JOB = custody.Job(1, "harbour", 2, 3, "handled", b"\x00body", False)
LEAST_JOB = custody.Job(4, "meadow", 5)
FULL_LOT = site.LotTold("deed-00001", 12.5, 3.5, "keyed", 512.0, ["10.0.0.1:4001", "10.0.0.2:4001"])
LEAST_LOT = site.LotTold("deed-00002", 0.5)
FULL_ZONE = site.ZoneTold("zone-1", 12.5, 81.25, 7)
LEAST_ZONE = site.ZoneTold("zone-2", 0.5)

MESSAGES = {
    # every connection
    "hello full": basics.Hello(1, "gateway", "g0", 12.5, 1700000000000.5, 65536, 7, "token", 2**40),
    "hello least": basics.Hello(1, "client"),
    "hello host": basics.Hello(1, "host"),
    "hello store": basics.Hello(1, "store"),
    "hello list": basics.Hello(1, "list"),
    "hello feed": basics.Hello(1, "feed"),
    "hello peer": basics.Hello(1, "peer"),
    "fault full": basics.Fault("too many", 250.5),
    "fault least": basics.Fault("a hello must come first"),
    "fault incarnation": basics.Fault(custody.LIFE_OVER),
    "leaving full": basics.Leaving("draining"),
    "leaving least": basics.Leaving(),
    # client and gateway
    "event full": messages.Event(
        1,
        "draft",
        "deed-00001",
        2500.5,
        12.25,
        "tenant-1",
        "mark-1",
        2.5,
        90.25,
        b"\x00body",
        "document-1",
        "key-1",
    ),
    "event least": messages.Event(2, "draft", "deed-00002", 2500.0, 12.0),
    "withdraw full": messages.Withdraw(3),
    "answer full": messages.Answer(4, "deferred", 200.5, "busy", b"\x00body"),
    "answer least": messages.Answer(5, "handled"),
    "answer failed": messages.Answer(6, "dead-lettered"),
    "started full": messages.Started(7),
    # gateway and host
    "launch full": messages.Launch(
        8,
        9,
        "harbour",
        "draft",
        "deed-00001",
        750.5,
        2,
        "mark-1",
        40.25,
        b"\x00body",
        "g1",
        2**40,
        17,
    ),
    "launch least": messages.Launch(10, 11, "meadow", "draft", "deed-00002", 750.0),
    "recall full": messages.Recall(12),
    "outcome full": messages.Outcome(13, "error", 4, 5, 6.5, b"\x00body", (100, 2, 3), 7.5, 0.625),
    "outcome least": messages.Outcome(14, "handled"),
    "outcome busy": messages.Outcome(15, "full"),
    "outcome missing": messages.Outcome(16, "missing"),
    "underway full": messages.Underway(17),
    "probe full": messages.Probe(18),
    "probed full": messages.Probed(19, "full", 8.5),
    "probed least": messages.Probed(20),
    "order full": messages.Order(21, "deed-00001", 3),
    "ordered full": messages.Ordered(22, "handled", 2),
    "ordered least": messages.Ordered(23, "error"),
    "drop full": messages.Drop(24, "deed-00001"),
    "dropped full": messages.Dropped(25, 1),
    "dropped least": messages.Dropped(26),
    # host and store
    "fetch full": messages.Fetch(27, "deed-00001"),
    "fetched full": messages.Fetched(28, "handled", 2, 512.5, 4, 50.25, 410.5, 0.375),
    "fetched least": messages.Fetched(29, "missing"),
    # gateway, list and release feed
    "follow full": messages.Follow(),
    "ask full": messages.Ask(),
    "rows full": messages.Rows(30, "changes", [FULL_ROW, LEAST_ROW, GONE_ROW]),
    "rows least": messages.Rows(31, "whole"),
    "releases full": messages.Releases(
        32, "whole", [FULL_RELEASE, LEAST_RELEASE, COMPLETE_RELEASE]
    ),
    "releases least": messages.Releases(33, "changes"),
    "heard full": messages.Heard(34),
    # gateway and gateway
    "members full": peers.Members([FULL_MEMBER, LEAST_MEMBER]),
    "members least": peers.Members(),
    "members states": peers.Members(
        [
            peers.Member("g3", 13, "", "", False, "silent"),
            peers.Member("g4", 14, "", "", False, "left"),
            peers.Member("g5", 15, "", "", False, "over"),
        ],
    ),
    "beat full": peers.Beat(),
    "seek full": peers.Seek("drain zone-1", 35, 3000.5, 36),
    "seek least": peers.Seek("drain zone-1", 37, 3000.0),
    "yield full": peers.Yield("drain zone-1", 38),
    "granted full": peers.Granted("drain zone-1", 39, 40),
    "granted least": peers.Granted("drain zone-1", 41),
    "refused full": peers.Refused("drain zone-1", 42, 43, 120.5, "held", 44),
    "refused least": peers.Refused("drain zone-1", 45, 46),
    "entrust full": peers.Entrust(
        47,
        1,
        True,
        [FULL_TRUST, LEAST_TRUST],
        [peers.Out(48, "10.0.0.1:4001")],
        [49, 50],
    ),
    "entrust least": peers.Entrust(51),
    "heir full": peers.Heir("g1", 52, 53, "g2", True, [b"0123456789abcdef"]),
    "heir least": peers.Heir("g1", 54, 55, "g2"),
    "claim full": peers.Claim(56, "g1", 57, 58, "key-1", b"0123456789abcdef"),
    "claim least": peers.Claim(59, "g1", 60, 61, "key-2"),
    "claimed full": peers.Claimed(62, True, "handled", 200.5, "busy", b"\x00body"),
    "claimed least": peers.Claimed(63),
    # requests that outlive their gateway
    "reclaim full": custody.Reclaim(64, "g1", 65, 66, "key-1", 2500.5, 12.25),
    "unknown full": custody.Unknown(67, "never heard of"),
    "unknown least": custody.Unknown(68),
    "over full": custody.Over(69, "g1", 70, 71),
    "holds full": custody.Holds(72, 73, [FULL_JOB, LEAST_JOB]),
    "holds least": custody.Holds(74, 75),
    "adopt full": custody.Adopt(76, 77),
    "count full": custody.Count(78),
    "counted full": custody.Counted(79, 80, 81, ["g0", "g1"]),
    "counted least": custody.Counted(82, 83, 84),
    # the drain of a zone
    "wave full": site.Wave(
        "zone-1",
        85,
        86,
        "g1",
        "held",
        [site.Away("deed-00001", 0.25), site.Away("", 0.75)],
        ["draft"],
        [site.Copy("deed-00001", "10.0.0.1:4001")],
        "no room",
        0.5,
        True,
    ),
    "wave least": site.Wave("zone-1", 87, 88, "g1"),
    "wave emptying": site.Wave("zone-1", 89, 90, "g1", "emptying"),
    "wave empty": site.Wave("zone-1", 91, 92, "g1", "empty"),
    "wave undoing": site.Wave("zone-1", 93, 94, "g1", "undoing"),
    "wave over": site.Wave("zone-1", 95, 96, "g1", "over"),
    "followed full": site.Followed(
        "g2",
        97,
        "zone-1",
        98,
        99,
        100,
        101,
        102,
        [FULL_LOT, LEAST_LOT],
        [FULL_ZONE, LEAST_ZONE],
        "g1",
    ),
    "followed least": site.Followed("g2", 103, "zone-1", 104, 105),
    "drain full": site.Drain("zone-1", "hold", "g1"),
    "drain least": site.Drain("zone-1", "resume"),
    "drain undo": site.Drain("zone-1", "undo"),
}

DIRECTIONS = (
    messages.ALL,
    messages.FROM_CLIENT,
    messages.TO_CLIENT,
    messages.TO_HOST,
    messages.FROM_HOST,
    messages.TO_STORE,
    messages.FROM_STORE,
    messages.TO_LIST,
    messages.FROM_LIST,
    messages.TO_FEED,
    messages.FROM_FEED,
    custody.FROM_CLIENT,
    custody.TO_CLIENT,
    custody.TO_HOST,
    custody.FROM_HOST,
    peers.PEER,
    site.SITE,
)
"""What each end takes from each other end, in the order of the golden file."""
