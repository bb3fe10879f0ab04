"""A whole day in little: processes start, troubles strike, the audit judges, nothing is left
running.
"""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from cherrydoor.config import Problems
from cherrydoor.rehearsal.day import SHIPPED, read_day
from cherrydoor.rehearsal.faults import FaultPlan
from cherrydoor.rehearsal.scenario_runner import RunFailedError, ScenarioRunner
from cherrydoor.rehearsal.traffic import draw_arrivals

LITTLE = """
name: "little"
length: 4s
warm: 1s
spare: 400ms
events: [{name: "draft", target: 750ms, max_age: 2s}, {name: "file", target: 750ms, max_age: 2s, kind: "at-most-once"}]
fleet: {hosts: 4}
cold: {}
functions: {count: 8, load: [60, 120], work: [5, 15]}
clients: {per_second: 40}
gateways: {count: 3, in_a_process: 2}
store: {}
list: {notice: [0.05, 0.2]}
may: {}
ration: {}
troubles: [
  {at: 500ms, what: "deploy", lasts: 1s, part: 50%, size: 0.4}
  {at: 1s, what: "gateway-crash", lasts: 500ms, part: 20%}
  {at: 2s, what: "gateway-stall", lasts: 300ms, part: 20%}
  {at: 2s, what: "lost-answers", lasts: 1s, part: 30%, size: 0.5}
  {at: 3s, what: "crash", lasts: 500ms, part: 20%}
]
"""


def cherrydoor(*words):
    return subprocess.run(
        [sys.executable, "-m", "cherrydoor", *words],
        capture_output=True,
        text=True,
        timeout=120,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )


def test_a_little_bad_day_keeps_every_rule(tmp_path):
    day = tmp_path / "little.day"
    day.write_text(LITTLE)
    done = cherrydoor("rehearse", str(day), "--out", str(tmp_path / "out"), "--json", "--quiet")
    assert done.returncode == 0, done.stderr + done.stdout[-2000:]
    found = json.loads(done.stdout)
    assert found["broken"] == [] and found["answers"]["handled"] > 50 and found["loads"] > 0
    assert (tmp_path / "out" / "report.svg").stat().st_size > 1000
    again = cherrydoor("audit", str(tmp_path / "out"), "--json")
    assert again.returncode == 0 and json.loads(again.stdout) == found


def test_a_little_day_of_the_other_shape_keeps_every_rule(tmp_path):
    """Answers tell neither copies nor crowds, a rack drops repeats of a keyed type, and hosts leave it unanswered."""
    day = tmp_path / "other.day"
    day.write_text("""
name: "other"
length: 5s
warm: 1s
spare: 400ms
events: [
  {name: "look", target: 800ms, max_age: 2s}
  {name: "book", target: 1.2s, max_age: 2s, kind: "keyed", group: "cell", memory: 6s}
]
fleet: {hosts: 6, cells: 1, disk: 0, tells_copy: false, tells_crowd: false, tells_held: true, tells_queue: true,
        tells_tied: true}
cold: {from: 17%, time: 3s, multiple: 2, fall: 3s}
functions: {count: 10, load: [60, 120], work: [5, 15], lanes: [1], core: 0}
clients: {per_second: 60}
gateways: {count: 3, in_a_process: 2}
store: {}
list: {notice: [0.05, 0.2]}
may: {launches: 3, order: false}
ration: {}
troubles: [
  {at: 1s, what: "deaf", event: "book", lasts: 3s, part: 50%, size: 0.9}
  {at: 2s, what: "rack-restart", lasts: 500ms, part: 30%}
  {at: 2500ms, what: "gateway-crash", lasts: 500ms, part: 20%}
]
""")
    done = cherrydoor("rehearse", str(day), "--out", str(tmp_path / "out"), "--json", "--quiet")
    assert done.returncode == 0, done.stderr + done.stdout[-2000:]
    found = json.loads(done.stdout)
    assert (
        found["broken"] == []
        and found["answers"]["handled"] > 50
        and found["answers"]["dead-lettered"] > 0
    )


def test_a_little_crash_at_the_gate_keeps_every_rule_and_every_known_client(tmp_path):
    day = tmp_path / "gate.day"
    first = LITTLE.index("troubles:")
    day.write_text(
        LITTLE[:first]
        + """
offices: [{name: "harbour", share: 2}, {name: "meadow", share: 1}]
doors: {tls: true, known: 10, places: 40, descriptors: 160}
troubles: [
  {at: 200ms, what: "flood", lasts: 3.5s, size: 4}
  {at: 800ms, what: "key-change", lasts: 1s, part: 60%, size: 2}
  {at: 1s, what: "gateway-crash", lasts: 500ms, part: 20%}
  {at: 2.5s, what: "reconnect", lasts: 500ms, size: 6}
]
"""
    )
    done = cherrydoor("rehearse", str(day), "--out", str(tmp_path / "out"), "--json", "--quiet")
    assert done.returncode == 0, done.stderr + done.stdout[-2000:]
    found = json.loads(done.stdout)
    assert found["broken"] == [] and found["answers"]["handled"] > 50
    for one in (found["doors"]["connects"], found["doors"]["came back"]):
        assert one["let in"] == one["tried"] > 5, one
    assert found["doors"]["flood"]["opened"] > 300


def test_a_day_that_cannot_be_read_or_run_exits_with_2(tmp_path):
    assert cherrydoor("rehearse", "no-such-day").returncode == 2
    day = tmp_path / "bad.day"
    day.write_text(LITTLE.replace("hosts: 4", "hosts: 0"))
    done = cherrydoor("rehearse", str(day))
    assert done.returncode == 2 and "fleet.hosts" in done.stderr and "Traceback" not in done.stderr
    day.write_text(LITTLE)
    (tmp_path / "out" / "traffic").mkdir(parents=True)
    (tmp_path / "out" / "traffic" / "x").touch()
    with pytest.raises(RunFailedError):
        ScenarioRunner(read_day(day), tmp_path / "out")


def test_interrupted_it_leaves_nothing_running(tmp_path):
    day = tmp_path / "little.day"
    day.write_text(LITTLE)
    words = ["rehearse", str(day), "--out", str(tmp_path / "out")]
    running = subprocess.Popen(
        [sys.executable, "-m", "cherrydoor", *words],
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )
    while not list(tmp_path.glob("out/traffic/client*")):
        assert running.poll() is None
        time.sleep(0.01)
    running.send_signal(signal.SIGINT)
    running.communicate(timeout=60)
    assert running.returncode == 2
    left = [p for p in os.listdir("/proc") if p.isdigit() and str(tmp_path) in command_line(p)]
    assert left == []


def command_line(process):
    try:
        with open(f"/proc/{process}/cmdline") as file:
            return file.read()
    except OSError:
        return ""


def test_the_same_seed_gives_the_same_day_and_another_another(tmp_path):
    day = tmp_path / "little.day"
    day.write_text(LITTLE)
    one, same, other = read_day(day), read_day(day), read_day(day, seed=2)
    assert (
        draw_arrivals(one).at_ms == draw_arrivals(same).at_ms
        and draw_arrivals(one).function == draw_arrivals(same).function
    )
    assert FaultPlan(one).steps == FaultPlan(same).steps
    assert (
        draw_arrivals(one).at_ms != draw_arrivals(other).at_ms
        and FaultPlan(one).steps != FaultPlan(other).steps
    )


def test_a_trouble_added_moves_no_other_arrival(tmp_path):
    day = read_day("quick")
    calm = day | {"troubles": [t for t in day["troubles"] if t["what"] != "burst"]}
    struck = {"what": "hot", "at": 1000.0, "lasts": 5000.0, "part": 0.2, "size": 2.0}
    hot = calm | {"troubles": [*calm["troubles"], struck]}
    assert (
        draw_arrivals(calm).at_ms == draw_arrivals(hot).at_ms
        and draw_arrivals(calm).function != draw_arrivals(hot).function
    )


def test_every_trouble_can_be_scripted(tmp_path):
    schema = (SHIPPED.parent.parent / "config" / "scenario.schema").read_text()
    names = schema.split("what: ")[1].splitlines()[0].replace('"', "").split(" | ")
    text = (
        LITTLE.split("troubles:")[0]
        + "troubles: ["
        + "\n".join(f'{{at: 100ms, lasts: 1s, what: "{name}"}}' for name in names)
        + "]"
    )
    day = tmp_path / "all.day"
    day.write_text(text)
    said = read_day(day)
    plan = FaultPlan(said)
    does = {what for _, what, _ in plan.steps}
    handled = {name[3:].replace("_", " ") for name in dir(ScenarioRunner) if name.startswith("do_")}
    assert does <= handled and len(names) == 34
    assert {t["what"] for t in said["troubles"]} - {
        n.replace("_", "-") for n in dir(FaultPlan)
    } == {
        "burst",
        "hot",
        "scan",
        "repeats",
    }, "these four are in the traffic itself"


def test_a_trouble_after_the_end_is_refused(tmp_path):
    day = tmp_path / "late.day"
    day.write_text(LITTLE.replace("at: 500ms", "at: 500s"))
    with pytest.raises(Problems, match="troubles.0.at"):
        read_day(day)
