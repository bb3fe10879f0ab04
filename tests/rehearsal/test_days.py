"""Plays small scenarios with real processes: faults are injected, the audit finds no broken rule,
and no process is left running.
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

SMALL_SCENARIO = """
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


def cherrydoor(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "cherrydoor", *arguments],
        capture_output=True,
        text=True,
        timeout=120,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )


def test_small_scenario_with_faults_breaks_no_rule(tmp_path):
    path = tmp_path / "little.day"
    path.write_text(SMALL_SCENARIO)
    run = cherrydoor("rehearse", str(path), "--out", str(tmp_path / "out"), "--json", "--quiet")
    assert run.returncode == 0, run.stderr + run.stdout[-2000:]
    report = json.loads(run.stdout)
    assert report["broken"] == [] and report["answers"]["handled"] > 50 and report["loads"] > 0
    assert (tmp_path / "out" / "report.svg").stat().st_size > 1000
    audit = cherrydoor("audit", str(tmp_path / "out"), "--json")
    assert audit.returncode == 0 and json.loads(audit.stdout) == report


def test_small_scenario_with_sparse_reports_and_cell_deduplication_breaks_no_rule(tmp_path):
    """Responses report neither copies nor the requests of the same function, hosts deduplicate a
    keyed class within their cell only, and some leave that class unanswered.
    """
    path = tmp_path / "other.day"
    path.write_text("""
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
    run = cherrydoor("rehearse", str(path), "--out", str(tmp_path / "out"), "--json", "--quiet")
    assert run.returncode == 0, run.stderr + run.stdout[-2000:]
    report = json.loads(run.stdout)
    assert (
        report["broken"] == []
        and report["answers"]["handled"] > 50
        and report["answers"]["dead-lettered"] > 0
    )


def test_small_scenario_with_a_connection_flood_breaks_no_rule_and_admits_every_known_client(
    tmp_path,
):
    path = tmp_path / "gate.day"
    faults_at = SMALL_SCENARIO.index("troubles:")
    path.write_text(
        SMALL_SCENARIO[:faults_at]
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
    run = cherrydoor("rehearse", str(path), "--out", str(tmp_path / "out"), "--json", "--quiet")
    assert run.returncode == 0, run.stderr + run.stdout[-2000:]
    report = json.loads(run.stdout)
    assert report["broken"] == [] and report["answers"]["handled"] > 50
    for connections in (report["doors"]["connects"], report["doors"]["came back"]):
        assert connections["let in"] == connections["tried"] > 5, connections
    assert report["doors"]["flood"]["opened"] > 300


def test_a_scenario_that_cannot_be_read_or_run_exits_with_2(tmp_path):
    assert cherrydoor("rehearse", "no-such-day").returncode == 2
    path = tmp_path / "bad.day"
    path.write_text(SMALL_SCENARIO.replace("hosts: 4", "hosts: 0"))
    run = cherrydoor("rehearse", str(path))
    assert run.returncode == 2 and "fleet.hosts" in run.stderr and "Traceback" not in run.stderr
    path.write_text(SMALL_SCENARIO)
    (tmp_path / "out" / "traffic").mkdir(parents=True)
    (tmp_path / "out" / "traffic" / "x").touch()
    with pytest.raises(RunFailedError):
        ScenarioRunner(read_day(path), tmp_path / "out")


def test_an_interrupted_rehearsal_leaves_no_process_running(tmp_path):
    path = tmp_path / "little.day"
    path.write_text(SMALL_SCENARIO)
    arguments = ["rehearse", str(path), "--out", str(tmp_path / "out")]
    running = subprocess.Popen(
        [sys.executable, "-m", "cherrydoor", *arguments],
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )
    while not list(tmp_path.glob("out/traffic/client*")):
        assert running.poll() is None
        time.sleep(0.01)
    running.send_signal(signal.SIGINT)
    running.communicate(timeout=60)
    assert running.returncode == 2
    still_running = [
        process
        for process in os.listdir("/proc")
        if process.isdigit() and str(tmp_path) in command_line(process)
    ]
    assert still_running == []


def command_line(process):
    try:
        with open(f"/proc/{process}/cmdline") as file:
            return file.read()
    except OSError:
        return ""


def test_the_same_seed_gives_the_same_scenario_and_another_seed_a_different_one(tmp_path):
    path = tmp_path / "little.day"
    path.write_text(SMALL_SCENARIO)
    scenario, same_seed, other_seed = read_day(path), read_day(path), read_day(path, seed=2)
    assert (
        draw_arrivals(scenario).at_ms == draw_arrivals(same_seed).at_ms
        and draw_arrivals(scenario).function == draw_arrivals(same_seed).function
    )
    assert FaultPlan(scenario).steps == FaultPlan(same_seed).steps
    assert (
        draw_arrivals(scenario).at_ms != draw_arrivals(other_seed).at_ms
        and FaultPlan(scenario).steps != FaultPlan(other_seed).steps
    )


def test_an_added_fault_changes_no_arrival_time(tmp_path):
    scenario = read_day("quick")
    without_burst = scenario | {
        "troubles": [fault for fault in scenario["troubles"] if fault["what"] != "burst"]
    }
    hot_fault = {"what": "hot", "at": 1000.0, "lasts": 5000.0, "part": 0.2, "size": 2.0}
    with_hot = without_burst | {"troubles": [*without_burst["troubles"], hot_fault]}
    assert (
        draw_arrivals(without_burst).at_ms == draw_arrivals(with_hot).at_ms
        and draw_arrivals(without_burst).function != draw_arrivals(with_hot).function
    )


def test_every_fault_of_the_schema_can_be_planned_and_carried_out(tmp_path):
    schema = (SHIPPED.parent.parent / "config" / "scenario.schema").read_text()
    names = schema.split("what: ")[1].splitlines()[0].replace('"', "").split(" | ")
    text = (
        SMALL_SCENARIO.split("troubles:")[0]
        + "troubles: ["
        + "\n".join(f'{{at: 100ms, lasts: 1s, what: "{name}"}}' for name in names)
        + "]"
    )
    path = tmp_path / "all.day"
    path.write_text(text)
    scenario = read_day(path)
    plan = FaultPlan(scenario)
    planned = {step for _, step, _ in plan.steps}
    carried_out = {
        name[3:].replace("_", " ") for name in dir(ScenarioRunner) if name.startswith("do_")
    }
    assert planned <= carried_out and len(names) == 34
    assert {fault["what"] for fault in scenario["troubles"]} - {
        name.replace("_", "-") for name in dir(FaultPlan)
    } == {
        "burst",
        "hot",
        "scan",
        "repeats",
    }, "draw_arrivals applies these four"


def test_a_fault_after_the_end_of_the_scenario_is_refused(tmp_path):
    path = tmp_path / "late.day"
    path.write_text(SMALL_SCENARIO.replace("at: 500ms", "at: 500s"))
    with pytest.raises(Problems, match="troubles.0.at"):
        read_day(path)
