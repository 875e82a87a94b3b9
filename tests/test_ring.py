"""Deterministic subsetting: each server is in a number of sets in proportion to its size."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hareloom import Balancer
from hareloom import interface as api
from hareloom.ring import Ring, part_count
from hareloom.working import SET_MAX


def part(ring: Ring) -> list[str]:
    """Returns the servers of the sidecar's own part."""
    first, found = ring.own_start(), list[str]()
    for _, name in ring.items[first:]:
        if len(found) < ring.own_count() and name in ring.listed and name not in found:
            found.append(name)
    return found


def rings(peers: int, sizes: dict[str, float]) -> list[Ring]:
    made = [Ring(me, peers) for me in range(peers)]
    for ring in made:
        for name, size in sizes.items():
            ring.put(name, size, 0.5)
    return made


@pytest.mark.parametrize("peers, servers", [(200, 40), (200, 200), (60, 15), (1000, 100), (120, 27)])
def test_every_server_is_in_as_many_parts_as_any_other(peers: int, servers: int) -> None:
    made = rings(peers, {f"s-{number}": 1.0 for number in range(servers)})
    counts = Counter(name for ring in made for name in part(ring))
    rounds = peers / made[0].parts
    assert len(counts) == servers
    assert max(counts.values()) - min(counts.values()) <= 1 and abs(min(counts.values()) - rounds) <= 1


def test_larger_servers_are_in_more_parts_by_their_size() -> None:
    sizes = {f"s-{number}": 4.0 if number < 10 else 1.0 for number in range(60)}
    counts = Counter(name for ring in rings(400, sizes) for name in part(ring))
    large = sum(counts[f"s-{number}"] for number in range(10)) / 10
    rest = sum(counts[f"s-{number}"] for number in range(10, 60)) / 50
    assert 3.4 < large / rest < 4.6
    ring = rings(400, sizes)[0]
    assert abs(len(ring.items) - 60) < 8  # a part is as long as with servers of equal size


CHANGES = st.lists(st.tuples(st.integers(0, 30), st.sampled_from([1.0, 1.0, 2.5])), max_size=60)


@given(CHANGES, st.integers(0, 99), st.randoms())
def test_the_order_is_of_the_list_alone(changes: list[tuple[int, float]], me: int, chance: object) -> None:
    """Servers that were added, removed, repeated or added in another order give the same ring."""
    grown, there = Ring(me, 100), dict[str, float]()
    for number, size in changes:
        name = f"s-{number}"
        if name in there:
            grown.withdraw(name, False)
            grown.remove(name)
            del there[name]
        else:
            grown.put(name, size, float(number))
            there[name] = size
    made, names = Ring(me, 100), sorted(there)
    chance.shuffle(names)  # type: ignore[attr-defined]
    for name in names:
        made.put(name, there[name], float(name[2:]))
    assert made.items == grown.items and (made.own_start(), made.own_count()) == (
        grown.own_start(),
        grown.own_count(),
    )


def test_one_server_more_moves_few() -> None:
    """Only the sets that get the new server change, and the ends of a third of the other parts."""
    sizes = {f"s-{number}": 1.0 for number in range(100)}
    before = rings(200, sizes)
    after = rings(200, sizes | {"s-new": 1.0})
    moved = sum(len(set(part(b)) - set(part(a))) for a, b in zip(before, after, strict=True))
    assert 0 < moved <= 200


def test_where_its_number_is_not_told_the_order_is_its_own() -> None:
    ring = Ring(-1, 200)
    for number, rank in enumerate((0.3, 0.1, 0.2)):
        ring.put(f"s-{number}", 1.0, rank)
    assert [name for _, name in ring.items] == ["s-1", "s-2", "s-0"] and (
        ring.own_start(),
        ring.own_count(),
    ) == (0, 0)


def test_few_sidecars_have_one_part() -> None:
    assert [part_count(peers) for peers in (1, 5, 39, 40, 200, 10_000)] == [1, 1, 1, 2, 10, 500]


def test_a_server_that_drains_or_is_gone_for_a_while_moves_only_the_sets_that_it_was_in() -> None:
    ring = rings(200, {f"s-{number}": 1.0 for number in range(40)})[13]
    before, places = part(ring), list(ring.items)
    ring.withdraw("s-7", False)
    assert ring.items == places and part(ring) == [name for name in before if name != "s-7"]
    ring.withdraw("s-7", True)
    ring.put("s-7", 1.0, 0.5)
    assert ring.items == places and "s-7" in ring.listed and not ring.absent
    for number in range(40):
        ring.withdraw(f"s-{number}", True)
    assert len(ring.absent) <= 0.25 * len(ring.sizes) and len(ring.items) == len(ring.sizes)


def fleet(peers: int, servers: int) -> list[Balancer]:
    klass = api.RequestClass("sale", 400.0, 1200.0)
    entries = tuple(api.ServerEntry(f"s-{number}") for number in range(servers))
    made = []
    for me in range(peers):
        balancer = Balancer(api.Settings((klass,), peers=peers, me=me), me + 1)
        balancer.handle(0.0, api.ServerList(api.ListKind.FULL, 1, entries))
        made.append(balancer)
    return made


def test_the_module_draws_its_set_by_it() -> None:
    counts: Counter[str] = Counter()
    for balancer in fleet(200, 40):
        balancer.handle(1.0, api.Request("r", "sale", 1201.0))
        counts.update(server.entry.server for server in balancer.working.set)
    assert len(counts) == 40 and max(counts.values()) - min(counts.values()) <= 1


def test_a_set_has_a_bound_however_long_the_list() -> None:
    """With 200 sidecars and 1,000 servers a part would have 100 servers."""
    (balancer,) = fleet(200, 1000)[:1]
    balancer.handle(1.0, api.Request("r", "sale", 1201.0))
    assert len(balancer.working.set) == SET_MAX


def test_a_change_of_a_long_list_leaves_what_it_does_not_name_alone() -> None:
    (balancer,) = fleet(1, 300)[:1]
    kept = dict(balancer.servers)
    draining = api.ServerEntry("s-7", api.ServerState.DRAINING)
    balancer.handle(
        2.0, api.ServerList(api.ListKind.DELTA, 2, (draining, api.ServerEntry("s-300", kind="x")))
    )
    assert balancer.members.kind_counts == {"": 300, "x": 1} and len(balancer.members.ring.listed) == 300
    assert all(balancer.servers[name] is server for name, server in kept.items())
    balancer.handle(
        3.0, api.ServerList(api.ListKind.DELTA, 3, (api.ServerEntry("s-300", api.ServerState.GONE),))
    )
    assert (
        balancer.members.kind_counts == {"": 300}
        and "s-300" not in balancer.servers
        and not balancer.members.gone
    )
    assert "x" not in balancer.classes["sale"].costs
