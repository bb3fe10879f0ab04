"""A table of messages, built from positional arguments: golden id -> message.

A golden id begins with the message's tag on the wire. `full` follows if every optional field
differs from its default, `least` if only the required fields are given, and another word for
further variants. No id contains a class name.
"""

from cherrydoor.protocol import basics, messages, peers
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import zone_drain as site

FULL_ROW = messages.Endpoint("10.0.0.1:4001", "draining", 1700000000000.5, "zone-1", 3)
LEAST_ROW = messages.Endpoint("10.0.0.2:4001", "ready")
GONE_ROW = messages.Endpoint("10.0.0.3:4001", "gone")
FULL_RELEASE = messages.Release("deed-00001", 2, "withdrawn")
LEAST_RELEASE = messages.Release("deed-00002", 3)
COMPLETE_RELEASE = messages.Release("deed-00003", 4, "complete")
FULL_MEMBER = peers.Member("g1", 11, "10.0.1.1:5001", "zone-1", True, "vanished", 9)
LEAST_MEMBER = peers.Member("g2", 12)
FULL_TRUST = peers.ReplicatedRequest(
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
LEAST_TRUST = peers.ReplicatedRequest(3, 4, "meadow", "sign-off", "deed-00002", 1000.0)
FULL_JOB = custody.HostAttempt(1, "harbour", 2, 3, "handled", b"\x00body", False)
LEAST_JOB = custody.HostAttempt(4, "meadow", 5)
FULL_LOT = site.FunctionLoad(
    "deed-00001", 12.5, 3.5, "keyed", 512.0, ["10.0.0.1:4001", "10.0.0.2:4001"]
)
LEAST_LOT = site.FunctionLoad("deed-00002", 0.5)
FULL_ZONE = site.ZoneLoad("zone-1", 12.5, 81.25, 7)
LEAST_ZONE = site.ZoneLoad("zone-2", 0.5)

MESSAGES = {
    # on every connection
    "hello full": basics.Hello(1, "gateway", "g0", 12.5, 1700000000000.5, 65536, 7, "token", 2**40),
    "hello least": basics.Hello(1, "client"),
    "hello host": basics.Hello(1, "host"),
    "hello store": basics.Hello(1, "store"),
    "hello list": basics.Hello(1, "list"),
    "hello feed": basics.Hello(1, "feed"),
    "hello peer": basics.Hello(1, "peer"),
    "fault full": basics.GoAway("too many", 250.5),
    "fault least": basics.GoAway("a hello must come first"),
    "fault incarnation": basics.GoAway(custody.INCARNATION_ENDED),
    "leaving full": basics.Draining("draining"),
    "leaving least": basics.Draining(),
    # client and gateway
    "event full": messages.Request(
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
    "event least": messages.Request(2, "draft", "deed-00002", 2500.0, 12.0),
    "withdraw full": messages.CancelRequest(3),
    "answer full": messages.Response(4, "deferred", 200.5, "busy", b"\x00body"),
    "answer least": messages.Response(5, "handled"),
    "answer failed": messages.Response(6, "dead-lettered"),
    "started full": messages.StreamStarted(7),
    # gateway and host
    "launch full": messages.Attempt(
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
    "launch least": messages.Attempt(10, 11, "meadow", "draft", "deed-00002", 750.0),
    "recall full": messages.CancelAttempt(12),
    "outcome full": messages.AttemptResult(
        13, "error", 4, 5, 6.5, b"\x00body", (100, 2, 3), 7.5, 0.625
    ),
    "outcome least": messages.AttemptResult(14, "handled"),
    "outcome busy": messages.AttemptResult(15, "full"),
    "outcome missing": messages.AttemptResult(16, "missing"),
    "underway full": messages.AttemptStreaming(17),
    "probe full": messages.HealthCheck(18),
    "probed full": messages.HealthCheckResult(19, "full", 8.5),
    "probed least": messages.HealthCheckResult(20),
    "order full": messages.LoadOrder(21, "deed-00001", 3),
    "ordered full": messages.LoadOrderResult(22, "handled", 2),
    "ordered least": messages.LoadOrderResult(23, "error"),
    "drop full": messages.Unload(24, "deed-00001"),
    "dropped full": messages.UnloadResult(25, 1),
    "dropped least": messages.UnloadResult(26),
    # host and store
    "fetch full": messages.FetchFunction(27, "deed-00001"),
    "fetched full": messages.FetchResult(28, "handled", 2, 512.5, 4, 50.25, 410.5, 0.375),
    "fetched least": messages.FetchResult(29, "missing"),
    # gateway, endpoint list and release feed
    "follow full": messages.Watch(),
    "ask full": messages.Poll(),
    "rows full": messages.EndpointUpdate(30, "changes", [FULL_ROW, LEAST_ROW, GONE_ROW]),
    "rows least": messages.EndpointUpdate(31, "whole"),
    "releases full": messages.ReleaseUpdate(
        32, "whole", [FULL_RELEASE, LEAST_RELEASE, COMPLETE_RELEASE]
    ),
    "releases least": messages.ReleaseUpdate(33, "changes"),
    "heard full": messages.UpdateAcknowledged(34),
    # gateway and gateway
    "members full": peers.MembershipUpdate([FULL_MEMBER, LEAST_MEMBER]),
    "members least": peers.MembershipUpdate(),
    "members states": peers.MembershipUpdate(
        [
            peers.Member("g3", 13, "", "", False, "silent"),
            peers.Member("g4", 14, "", "", False, "left"),
            peers.Member("g5", 15, "", "", False, "over"),
        ],
    ),
    "beat full": peers.Heartbeat(),
    "seek full": peers.LeaseRequest("drain zone-1", 35, 3000.5, 36),
    "seek least": peers.LeaseRequest("drain zone-1", 37, 3000.0),
    "yield full": peers.LeaseRelease("drain zone-1", 38),
    "granted full": peers.LeaseGranted("drain zone-1", 39, 40),
    "granted least": peers.LeaseGranted("drain zone-1", 41),
    "refused full": peers.LeaseRefused("drain zone-1", 42, 43, 120.5, "held", 44),
    "refused least": peers.LeaseRefused("drain zone-1", 45, 46),
    "entrust full": peers.ReplicationUpdate(
        47,
        1,
        True,
        [FULL_TRUST, LEAST_TRUST],
        [peers.ReplicatedAttempt(48, "10.0.0.1:4001")],
        [49, 50],
    ),
    "entrust least": peers.ReplicationUpdate(51),
    "heir full": peers.SuccessorAnnounced("g1", 52, 53, "g2", True, [b"0123456789abcdef"]),
    "heir least": peers.SuccessorAnnounced("g1", 54, 55, "g2"),
    "claim full": peers.ClaimRequest(56, "g1", 57, 58, "key-1", b"0123456789abcdef"),
    "claim least": peers.ClaimRequest(59, "g1", 60, 61, "key-2"),
    "claimed full": peers.ClaimReply(62, True, "handled", 200.5, "busy", b"\x00body"),
    "claimed least": peers.ClaimReply(63),
    # requests whose gateway has failed
    "reclaim full": custody.ClaimResponse(64, "g1", 65, 66, "key-1", 2500.5, 12.25),
    "unknown full": custody.ResponseUnknown(67, "never heard of"),
    "unknown least": custody.ResponseUnknown(68),
    "over full": custody.EndIncarnation(69, "g1", 70, 71),
    "holds full": custody.AttemptsReport(72, 73, [FULL_JOB, LEAST_JOB]),
    "holds least": custody.AttemptsReport(74, 75),
    "adopt full": custody.AdoptAttempt(76, 77),
    "count full": custody.CountInFlight(78),
    "counted full": custody.InFlightCount(79, 80, 81, ["g0", "g1"]),
    "counted least": custody.InFlightCount(82, 83, 84),
    # the drain of a zone
    "wave full": site.DrainWave(
        "zone-1",
        85,
        86,
        "g1",
        "held",
        [site.MovedShare("deed-00001", 0.25), site.MovedShare("", 0.75)],
        ["draft"],
        [site.ReadyCopy("deed-00001", "10.0.0.1:4001")],
        "no room",
        0.5,
        True,
    ),
    "wave least": site.DrainWave("zone-1", 87, 88, "g1"),
    "wave emptying": site.DrainWave("zone-1", 89, 90, "g1", "emptying"),
    "wave empty": site.DrainWave("zone-1", 91, 92, "g1", "empty"),
    "wave undoing": site.DrainWave("zone-1", 93, 94, "g1", "undoing"),
    "wave over": site.DrainWave("zone-1", 95, 96, "g1", "over"),
    "followed full": site.ParticipantReport(
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
    "followed least": site.ParticipantReport("g2", 103, "zone-1", 104, 105),
    "drain full": site.OperatorCommand("zone-1", "hold", "g1"),
    "drain least": site.OperatorCommand("zone-1", "resume"),
    "drain undo": site.OperatorCommand("zone-1", "undo"),
}

DIRECTIONS = (
    messages.ALL_MESSAGES,
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
    peers.PEER_MESSAGES,
    site.ZONE_DRAIN_MESSAGES,
)
"""The messages that each end accepts from each other end, in the order of the golden file."""
