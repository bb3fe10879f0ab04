"""Reading typed records: values, unification, and problems with their positions."""

import time

from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.config import Problems, read, show
from cherrydoor.config.figures import read_config

SCHEMA = """
#Clause: { name: string, target: duration & >0ms, kind: *"redeliverable" | "keyed" }
#Lease: {
  clauses: [#Clause, ...#Clause]
  wait: *base | duration, base: *750ms | duration
  share: *5% | number & <=1
  size?: size
  offices: *{} | {[string]: { weight: *1 | int }}
}
"""
VALID = 'clauses: [{name: "draft", target: 2s}]'


def read_configuration(text):
    return read(text, "f", SCHEMA, "#Lease")


def problems_in(text):
    try:
        read_configuration(text)
    except Problems as error:
        return error.problems
    raise AssertionError("no problem was found")


def test_defaults_units_and_references():
    values = read_configuration(VALID + "\nbase: 1.5s // wait refers to base\nsize: 64KiB")
    assert (
        values["wait"] == values["base"] == 1500.0
        and values["size"] == 65536
        and values["share"] == 0.05
    )
    assert values["clauses"] == [{"name": "draft", "target": 2000.0, "kind": "redeliverable"}]


def test_values_written_twice_for_one_field_must_agree():
    assert read_configuration(VALID + "\nwait: 2s\nwait: 2000ms")["wait"] == 2000
    [problem] = problems_in(VALID + "\nwait: 2s\nwait: 3s")
    assert (
        problem.path == "wait"
        and problem.expected == "2s"
        and problem.found == "3s"
        and problem.line == 3
    )


def test_all_problems_are_reported_together_with_position_path_expected_and_found():
    found = problems_in('clauses: [{name: 5, target: -1s, kind: "often"}]\nbas: 3s\nshare: 900%')
    assert [(p.line, p.column, p.path) for p in found] == [
        (1, 18, "clauses.0.name"),
        (1, 29, "clauses.0.target"),
        (1, 40, "clauses.0.kind"),
        (2, 1, "bas"),
        (3, 8, "share"),
    ]
    assert found[0].expected == "string" and found[0].found == "5" and found[0].file == "f"
    assert found[2].expected == '"redeliverable" or "keyed"' and "base" in found[3].expected


def test_a_missing_field_is_reported_at_the_record_that_lacks_it():
    [problem] = problems_in('clauses: [\n  {name: "draft"}\n]')
    assert (problem.line, problem.path, problem.found) == (2, "clauses.0.target", "nothing")


def test_closed_records_reject_unknown_fields_and_patterns_accept_any_name():
    assert read_configuration(VALID + "\noffices: {harbour: {weight: 3}, meadow: {}}")["offices"][
        "meadow"
    ] == {"weight": 1}
    assert [p.path for p in problems_in(VALID + "\noffices: {harbour: {wieght: 3}}")] == [
        "offices.harbour.wieght"
    ]


def test_all_syntax_errors_are_reported():
    found = problems_in("a: [5 6]\nb: }\n")
    assert {1, 2} <= {p.line for p in found}


def test_reference_cycles_are_reported_and_not_followed():
    assert any("cycle" in p.found for p in problems_in("a: b\nb: a\n" + VALID))
    assert problems_in("#A: {b: #A}\na: #A\n" + VALID)


def test_shown_text_is_read_as_the_same_value():
    values = read_configuration(VALID + "\nsize: 3MB")
    assert read_configuration(show(values)) == values


# Files that would take too much time, memory or stack without the limits on parsing and evaluation.
HOSTILE = [
    "[" * 1_000_000,
    "a: " + "[" * 39 + "]" * 39,
    "x: 1\n" * 25000,
    "a: " + "(1|2|3) & " * 300 + "1",
    "\n".join(f"a{i}: a{i + 1} & a{i + 1}" for i in range(80)),
    "\n".join(f"a{i}: *a{i + 1} | a{i + 1}" for i in range(80)),
    "#A: {b: *#A | #A, c: *#A | #A}\nd: #A",
    'a: "' + "\\u00" * 30,
    "a: " + "9" * 5000,
    "a: 1e999",
    "\x00",
]


def test_hostile_files_are_rejected_within_seconds():
    for text in HOSTILE:
        started_s = time.process_time()
        problems_in(text)
        assert time.process_time() - started_s < 5.0, text[:30]


@settings(max_examples=80, deadline=None)
@given(st.text(alphabet='ab#:{}[]()*|&<>=.,"1m s\n%?/', max_size=60))
def test_any_text_is_read_or_rejected(text):
    try:
        read(text, "f")
    except Problems as error:
        assert error.problems


def test_a_configuration_that_mixes_two_kinds_of_deployment_is_rejected_with_the_key(tmp_path):
    common = 'name: "g", number: 0, gateways: 1, list: "127.0.0.1:1", cold: {}, bounds: {}\n'
    request_class = 'clauses: [{name: "a", target: 1s, max_age: 2s%s}]\n'
    valid_rest = request_class % "" + "ration: {}\nmay: {}\n"
    mixed_settings = {
        "clauses.0.group": request_class % ', group: "cell"' + "ration: {}\nmay: {}\n",
        "ration.within": request_class % "" + "ration: {free: 4, within: 5s}\nmay: {}\n",
        "misses": valid_rest + "misses: true\n",
        "tells.copy": valid_rest + 'tells: {copy: false}\nreleases: {feed: "127.0.0.1:2"}\n',
    }
    path = tmp_path / "g.lease"
    path.write_text(common + valid_rest)
    assert read_config(path).limits.tells == (True, True)  # the default for files without `tells`
    path.write_text(common + valid_rest + "tells: {copy: false, crowd: false}\n")
    assert read_config(path).lease.reports_copy is False and read_config(path).limits.tells == (
        False,
        False,
    )
    for key, text in mixed_settings.items():
        path.write_text(common + text)
        try:
            read_config(path)
        except Problems as error:
            assert [p.path for p in error.problems] == [key]
        else:
            raise AssertionError(key)
