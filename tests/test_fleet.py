"""The combined behavior of many independent sidecars that do not coordinate."""

from __future__ import annotations

from collections import Counter

from helpers import READ, Driver

from hareloom import interface as api

NAMES = [f"s{number:03d}" for number in range(40)]


def sidecars(count: int, names: list[str], latency: float = 50.0, served: int = 60) -> list[Driver]:
    """Returns sidecars with different seeds that have served some traffic with the same list."""
    drivers = [Driver(READ, seed=number, peers=200) for number in range(count)]
    for driver in drivers:
        driver.listed(*names)
        for _ in range(served):
            driver.serve(latency=latency)
            driver.now += 150.0
    return drivers


def test_first_requests_to_a_restarted_server_stay_within_its_share() -> None:
    """All sidecars learn of the start simultaneously. Their trials together must not overload the server."""
    drivers = sidecars(100, NAMES)
    for driver in drivers:
        driver.listed("s007", kind=api.ListKind.DELTA, started_at=driver.now)
    sent: Counter[str] = Counter()
    for driver in drivers:
        for _ in range(10):  # two seconds of normal traffic
            request = driver.ask()
            sent.update(driver.sent.get(request, []))
            driver.now += 50.0
            if request in driver.sent:
                driver.end(request, api.Outcome.OK, 50.0)
            driver.now += 150.0
    warm = (sum(sent.values()) - sent["s007"]) / (len(NAMES) - 1)
    assert 0 < sent["s007"] <= warm, "its share while it warms up, not a trial from each sidecar"


def test_a_new_sidecar_sends_nothing_to_a_cold_server() -> None:
    driver = Driver(READ)
    driver.listed("cold", started_at=0.0)
    driver.listed("a", "b", "c", kind=api.ListKind.DELTA)
    sent = Counter(server for _ in range(30) for server in driver.sent.get(driver.ask(), []))
    assert sent["cold"] == 0


def test_a_sidecar_with_little_traffic_uses_a_bounded_working_set() -> None:
    driver = Driver(READ, peers=2000)
    driver.listed(*[f"s{number}" for number in range(500)])
    used = set()
    for _ in range(200):
        driver.now += 900.0
        used.add(driver.serve())
    assert 4 <= len(used) <= 8


def test_the_working_set_is_drawn_again_when_its_servers_are_gone() -> None:
    driver = Driver(READ, peers=200)
    driver.listed(*NAMES)
    before = {driver.serve() for _ in range(40)}
    gone = tuple(api.ServerEntry(name, api.ServerState.GONE) for name in before)
    driver.give(api.ServerList(api.ListKind.DELTA, 2, gone))
    after = {driver.serve() for _ in range(40)}
    assert after and not after & before


def test_a_few_sidecars_use_the_complete_list() -> None:
    driver = Driver(READ, peers=4)
    driver.listed(*NAMES)
    assert {driver.serve() for _ in range(80)} == set(NAMES)


def test_sidecars_draw_different_working_sets() -> None:
    used: Counter[str] = Counter()
    for driver in sidecars(60, NAMES, served=20):
        used.update({name for sent in driver.sent.values() for name in sent})
    assert len(used) == len(NAMES), "together they use every server"
    assert max(used.values()) <= 40, "no server is in nearly every set"


def test_larger_servers_are_in_more_working_sets() -> None:
    used: Counter[str] = Counter()
    for number in range(80):
        driver = Driver(READ, seed=number, peers=200)
        driver.give(
            api.ServerList(
                api.ListKind.CACHED,
                1,
                tuple(
                    api.ServerEntry(name, size=1.0 + 2.0 * (index % 2)) for index, name in enumerate(NAMES)
                ),
            )
        )
        used.update({driver.serve() for _ in range(30)})
    large = sum(count for name, count in used.items() if NAMES.index(name) % 2)
    assert large > 1.5 * (sum(used.values()) - large)


def test_a_failed_connection_ejects_but_does_not_make_a_server_cold() -> None:
    """A partitioned zone or a full connection table looks like a restart, which the list would report."""
    driver = Driver(READ, peers=4)
    driver.listed(*NAMES[:4])
    driver.warm(dict.fromkeys(NAMES[:4], 50.0))
    request = driver.ask()
    server = driver.server(driver.sent[request][0])
    driver.end(request, api.Outcome.CONNECT_FAILED, 2.0)
    assert not server.active and server.cold_since is None
    driver.now = server.trial_at
    assert driver.sent[driver.ask()] == [server.entry.server], "the trial is due, as after any ejection"


def test_servers_that_are_gone_are_forgotten_once_they_have_no_open_requests() -> None:
    """Servers are replaced continually under new ids. If kept, they would fill memory and slow each draw."""
    driver = Driver(READ)
    driver.listed("a", "b")
    request = driver.ask()
    used = driver.sent[request][0]
    other = "b" if used == "a" else "a"
    driver.listed("c", kind=api.ListKind.FULL)
    assert set(driver.balancer.servers) == {used, "c"}
    driver.end(request, api.Outcome.OK, 50.0)
    driver.listed("c", kind=api.ListKind.DELTA, state=api.ServerState.DRAINING)
    driver.listed(other, kind=api.ListKind.DELTA, state=api.ServerState.GONE)
    assert set(driver.balancer.servers) == {"c"}, "a draining server is not gone"
