"""Modules have no import cycles, except for those listed until they are removed."""

from benchmarks.readability import cycles_of, find_import_cycles

KNOWN = (  # each for types only; remove a row with its cycle, add none
    {"simulation.mesh.disk", "simulation.mesh.witness", "simulation.mesh.world"},
    {"hareloom.beliefs", "hareloom.rules"},
    {"mesh.data_plane.introspection", "mesh.data_plane.program"},
)


def test_there_are_no_unknown_import_cycles() -> None:
    unknown = [cycle for cycle in find_import_cycles() if not any(set(cycle) <= known for known in KNOWN)]
    assert unknown == []


def test_a_cycle_is_found() -> None:
    assert cycles_of({"a": {"b", "c"}, "b": {"a"}, "c": set(), "d": {"a"}}) == [["a", "b"]]
    assert cycles_of({"a": {"b"}, "b": set()}) == []
