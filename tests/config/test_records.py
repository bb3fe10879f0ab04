"""What records come to, and that whatever is wrong with a file is told in one go, with its
place.
"""

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
GOOD = 'clauses: [{name: "draft", target: 2s}]'


def lease(text):
    return read(text, "f", SCHEMA, "#Lease")


def wrong(text):
    try:
        lease(text)
    except Problems as error:
        return error.problems
    raise AssertionError("nothing was wrong")


def test_defaults_units_and_references():
    said = lease(GOOD + "\nbase: 1.5s // so wait follows\nsize: 64KiB")
    assert (
        said["wait"] == said["base"] == 1500.0 and said["size"] == 65536 and said["share"] == 0.05
    )
    assert said["clauses"] == [{"name": "draft", "target": 2000.0, "kind": "redeliverable"}]


def test_a_place_written_twice_must_agree():
    assert lease(GOOD + "\nwait: 2s\nwait: 2000ms")["wait"] == 2000
    [problem] = wrong(GOOD + "\nwait: 2s\nwait: 3s")
    assert (
        problem.path == "wait"
        and problem.expected == "2s"
        and problem.found == "3s"
        and problem.line == 3
    )


def test_all_problems_come_at_once_with_file_line_column_path_expected_and_found():
    found = wrong('clauses: [{name: 5, target: -1s, kind: "often"}]\nbas: 3s\nshare: 900%')
    assert [(p.line, p.column, p.path) for p in found] == [
        (1, 18, "clauses.0.name"),
        (1, 29, "clauses.0.target"),
        (1, 40, "clauses.0.kind"),
        (2, 1, "bas"),
        (3, 8, "share"),
    ]
    assert found[0].expected == "string" and found[0].found == "5" and found[0].file == "f"
    assert found[2].expected == '"redeliverable" or "keyed"' and "base" in found[3].expected


def test_what_is_missing_is_told_where_it_belongs():
    [problem] = wrong('clauses: [\n  {name: "draft"}\n]')
    assert (problem.line, problem.path, problem.found) == (2, "clauses.0.target", "nothing")


def test_closed_records_refuse_unknown_fields_and_patterns_take_any_name():
    assert lease(GOOD + "\noffices: {harbour: {weight: 3}, meadow: {}}")["offices"]["meadow"] == {
        "weight": 1
    }
    assert [p.path for p in wrong(GOOD + "\noffices: {harbour: {wieght: 3}}")] == [
        "offices.harbour.wieght"
    ]


def test_syntax_errors_are_all_told():
    found = wrong("a: [5 6]\nb: }\n")
    assert {1, 2} <= {p.line for p in found}


def test_reference_cycles_are_told_not_followed():
    assert any("cycle" in p.found for p in wrong("a: b\nb: a\n" + GOOD))
    assert wrong("#A: {b: #A}\na: #A\n" + GOOD)


def test_shown_text_reads_as_the_same():
    said = lease(GOOD + "\nsize: 3MB")
    assert lease(show(said)) == said


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


def test_hostile_files_are_refused_within_seconds():
    for text in HOSTILE:
        begun = time.process_time()
        wrong(text)
        assert time.process_time() - begun < 5.0, text[:30]


@settings(max_examples=80, deadline=None)
@given(st.text(alphabet='ab#:{}[]()*|&<>=.,"1m s\n%?/', max_size=60))
def test_any_text_is_read_or_refused(text):
    try:
        read(text, "f")
    except Problems as error:
        assert error.problems


def test_a_lease_that_mixes_two_shapes_is_refused_with_its_key(tmp_path):
    good = 'name: "g", number: 0, gateways: 1, list: "127.0.0.1:1", cold: {}, bounds: {}\n'
    clause = 'clauses: [{name: "a", target: 1s, max_age: 2s%s}]\n'
    plain = clause % "" + "ration: {}\nmay: {}\n"
    mixes = {
        "clauses.0.group": clause % ', group: "cell"' + "ration: {}\nmay: {}\n",
        "ration.within": clause % "" + "ration: {free: 4, within: 5s}\nmay: {}\n",
        "misses": plain + "misses: true\n",
        "tells.copy": plain + 'tells: {copy: false}\nreleases: {feed: "127.0.0.1:2"}\n',
    }
    path = tmp_path / "g.lease"
    path.write_text(good + plain)
    assert read_config(path).limits.tells == (True, True)  # a file of the old shape stays as it was
    path.write_text(good + plain + "tells: {copy: false, crowd: false}\n")
    assert read_config(path).lease.reports_copy is False and read_config(path).limits.tells == (
        False,
        False,
    )
    for key, text in mixes.items():
        path.write_text(good + text)
        try:
            read_config(path)
        except Problems as error:
            assert [p.path for p in error.problems] == [key]
        else:
            raise AssertionError(key)
