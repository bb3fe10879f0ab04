"""Answers to operators' drain commands on the control socket."""

from types import SimpleNamespace

import pytest

from cherrydoor.protocol.zone_drain import CoordinatorCommand, DrainState, DrainWave
from cherrydoor.zone_drain.operator_commands import OperatorCommands
from cherrydoor.zone_drain.participant import Participant


def host_in(zone):
    return SimpleNamespace(row=SimpleNamespace(zone=zone, state="ready"))


@pytest.fixture
def participant():
    return Participant()


@pytest.fixture
def sent_commands():
    return []


@pytest.fixture
def commands(participant, sent_commands):
    dispatcher = SimpleNamespace(hosts={"h1": host_in("east"), "h2": host_in("west")})
    coordinators = SimpleNamespace(coordinator=lambda zone: None)
    return OperatorCommands(
        lambda: dispatcher,
        lambda: participant,
        coordinators,
        loads=None,
        report_own_load=None,
        send_command=lambda *command: sent_commands.append(command),
    )


def start_drain(participant, state=DrainState.MOVING):
    participant.accept_wave(0.0, DrainWave("east", 1, 1, "g1", state))


@pytest.mark.parametrize("command", list(CoordinatorCommand))
def test_a_command_to_a_drain_is_sent_to_its_coordinator(
    commands, participant, sent_commands, command
):
    start_drain(participant)
    answer = commands.answer({"what": str(command), "site": "east"})
    assert sent_commands == [("g1", "east", command)]
    assert answer["site"] == "east"
    assert answer["state"] == "moving"


def test_an_unknown_command_is_refused_and_not_sent(commands, participant, sent_commands):
    start_drain(participant)
    assert commands.answer({"what": "stop", "site": "east"}) == {"error": "unknown command: stop"}
    assert sent_commands == []


def test_a_command_to_a_completed_drain_is_refused(commands, participant, sent_commands):
    start_drain(participant, DrainState.COMPLETED)
    answer = commands.answer({"what": "hold", "site": "east"})
    assert answer == {"error": "zone east is not being drained"}
    assert sent_commands == []


@pytest.mark.parametrize(
    ("zone", "reason"),
    [
        ("east", "zone east is already being drained by g1: wave 1, moving"),
        ("west", "zone east is being drained: one zone at a time"),
        ("north", "no host in the endpoint list is in zone 'north'; zones with hosts: east west"),
    ],
)
def test_a_second_drain_is_refused_with_the_reason(commands, participant, zone, reason):
    start_drain(participant)
    assert commands.answer({"what": "drain", "site": zone}) == {"error": reason}


def test_a_zone_without_a_drain_is_shown_as_not_drained(commands):
    answer = commands.answer({"what": "show", "site": "west"})
    assert answer == {"site": "west", "state": "not drained"}
