"""No modules reach one another by their imports, but for the circles listed until they are undone."""

from benchmarks.readability import circles_of, import_circles

KNOWN = (  # each of them for types alone; take a row out with its circle, add none
    {"simulation.mesh.disk", "simulation.mesh.witness", "simulation.mesh.world"},
    {"hareloom.beliefs", "hareloom.rules"},
    {"mesh.data_plane.introspection", "mesh.data_plane.program"},
)


def test_there_is_no_import_circle_but_those_that_are_known() -> None:
    unknown = [circle for circle in import_circles() if not any(set(circle) <= known for known in KNOWN)]
    assert unknown == []


def test_a_circle_is_seen() -> None:
    assert circles_of({"a": {"b", "c"}, "b": {"a"}, "c": set(), "d": {"a"}}) == [["a", "b"]]
    assert circles_of({"a": {"b"}, "b": set()}) == []
