"""Each error of the check is real: configurations of the corpus, run unchecked, break service on loopback.

Conversely, generated configurations pass the check, start, and keep the rules under faults.
"""

from __future__ import annotations

import asyncio
import copy
import dataclasses
import json
import socket
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import config_corpus as corpus
import pytest

from anisestair.configure import trial
from anisestair.configure.derive import derive, to_toml
from anisestair.configure.description import App, parse_app
from anisestair.configure.findings import RULES, Role
from anisestair.configure.source import read_json, read_toml
from rigs import fleet
from rigs.market import Callers, CallKind, Market, ServerBehavior

ROOT = Path(__file__).parent.parent
CASES = {item.name: item for item in corpus.invalid_cases()}
SEED = 5


def file_values(case: corpus.Case) -> tuple[dict[str, Any], dict[str, Any] | None]:
    """The values of a case's files as a sidecar reads them, without a check."""
    platform = json.loads(case.files.contents[Role.PLATFORM])
    operator = case.files.contents.get(Role.OPERATOR)
    return platform, read_toml("x", operator.decode()).data if operator is not None else None


def app_of(case: corpus.Case) -> App:
    return parse_app(read_toml("x", case.files.contents[Role.APP].decode()).data)


During = Callable[[Market, fleet.RunningSidecar], Awaitable[None]]


async def send_calls(
    case: corpus.Case,
    kinds: list[CallKind],
    seconds: float,
    behavior: ServerBehavior | None = None,
    servers: int = 4,
    capacity: float = 1e9,
    during: During | None = None,
    discovery: str = "",
    listen: str = "127.0.0.1:0",
    zone: str = "a",
) -> Market:
    """Sends calls through a real sidecar with the configuration of a case, except for its addresses."""
    platform, operator = file_values(case)
    async with Market(kinds, servers, SEED, behavior or ServerBehavior(), zone, capacity) as market:
        platform |= {"listen": listen, "discovery": discovery or market.discovery}
        platform["known"] = {"seq": 1, "whole": True, "hosts": market.hosts()}
        text = json.dumps(platform)
        if case.rule == "duplicate-key":  # parsed values cannot contain it
            text = text.replace(
                '"idempotency": "single_shot"', '"idempotency": "single_shot", "idempotency": "free"', 1
            )
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            arguments: tuple[str, ...] = ()
            if operator is not None:
                operator["rpc"]["listen"] = "127.0.0.1:0"
                file.write(to_toml(operator))
                file.flush()
                arguments = ("--operator", file.name)
            async with fleet.run_program(ROOT, text, *arguments) as running:
                callers = Callers(market, running.port, await running.next_listener_port() if operator else 0)
                other = asyncio.create_task(during(market, running)) if during is not None else None
                await callers.run(seconds)
                if other is not None:
                    await other
    return market


def run_case(case: corpus.Case, kinds: list[CallKind], seconds: float = 1.0, **more: Any) -> Market:
    return asyncio.run(send_calls(case, kinds, seconds, **more))


def rpc_kinds(**rates: float) -> list[CallKind]:
    given = {
        "sale": CallKind("sale", "never", 0.0, 1200.0, method="order.sale"),
        "listing": CallKind("listing", "keyed", 0.0, 4000.0, method="listing.put", key=(0, "key")),
        "look": CallKind("look", "free", 0.0, 2000.0, method="stock.look"),
    }
    return [dataclasses.replace(kind, rate=rates.get(name, 0.0)) for name, kind in given.items()]


def http_kinds(**rates: float) -> list[CallKind]:
    given = [CallKind("sale", "never", 0.0, 1200.0), CallKind("listing", "keyed", 0.0, 4000.0)]
    return [dataclasses.replace(kind, rate=rates.get(kind.name, 0.0)) for kind in given]


BREAKS = ServerBehavior(reset=0.3)


def test_a_sale_that_is_retried_runs_twice() -> None:
    for name in ("shop: sale with class look", "shop: prefix matches sales"):
        market = run_case(CASES[name], rpc_kinds(sale=60), behavior=BREAKS)
        assert market.ledger.count_duplicates() > 0, name


def test_the_last_of_two_keys_is_used_and_a_sale_runs_twice() -> None:
    # The loader uses the second "idempotency", which a reader of the first does not expect.
    shop = corpus.CaseMaker("shop")
    files = corpus.config_files(shop.platform, shop.operator, shop.app)
    case = corpus.Case("", "duplicate-key", Role.PLATFORM, (), 1, files)
    market = run_case(case, rpc_kinds(sale=60), behavior=BREAKS)
    assert market.ledger.count_duplicates() > 0


def test_a_keyed_call_in_a_wider_group_runs_twice() -> None:
    market = run_case(CASES["stall: key-scope all"], http_kinds(listing=60), behavior=BREAKS)
    assert market.ledger.count_duplicates() > 0


def test_a_keyed_call_beyond_its_servers_memory_runs_twice() -> None:
    # The servers forget a key before any second attempt can arrive.
    kinds = [CallKind("listing", "keyed", 60.0, 4000.0, remembers_ms=0.0)]
    case = CASES["stall: window longer than key memory"]
    assert (
        run_case(case, kinds, behavior=ServerBehavior(error=0.3, min_delay_ms=2.0)).ledger.count_duplicates()
        > 0
    )


def test_an_error_after_the_run_that_counts_as_turned_away_sells_twice() -> None:
    shop = corpus.CaseMaker("shop")
    case = shop.invalid(
        "sold out", "turned-away", ("rpc", "turned_away"), ["busy", {"why": "sold out"}], Role.OPERATOR
    )
    assert (
        run_case(case, rpc_kinds(sale=60), behavior=ServerBehavior(error=0.3)).ledger.count_duplicates() > 0
    )


@pytest.mark.parametrize("name", ["stall: queries itself", "stall: different discovery address"])
def test_with_a_wrong_discovery_address_drains_are_not_kept(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("rigs.market.NOTICE_LIMIT_S", 0.0)  # do not wait for the 6 s of the protocol

    async def drain_one(market: Market, running: fleet.RunningSidecar) -> None:
        await asyncio.sleep(0.5)
        market.drain(max(market.servers, key=lambda server: server.calls_received))

    case = CASES[name]
    with socket.create_server(("127.0.0.1", 0)) as free:
        own = f"127.0.0.1:{free.getsockname()[1]}"
    discovery = own if name == "stall: queries itself" else "127.0.0.1:9"  # nothing listens there
    market = run_case(
        case, http_kinds(sale=100), seconds=4.0, during=drain_one, discovery=discovery, listen=own
    )
    assert market.late_sends() > 0


async def restart_cold(market: Market, running: fleet.RunningSidecar) -> None:
    """Kills a server and restarts it with a small part of its capacity."""
    first = market.servers[0]
    first.kill()
    market.remove(first)
    await asyncio.sleep(0.3)
    await first.restart(0.02, 5.0)
    market.listed.insert(0, first)
    market.publish()


@pytest.mark.parametrize("name", ["stall: no start-up limit", "stall: cold-ms as cold_ms"])
def test_without_a_start_up_limit_a_starting_server_is_overloaded(name: str) -> None:
    market = run_case(
        CASES[name], http_kinds(sale=150), seconds=2.5, during=restart_cold, servers=3, capacity=100.0
    )
    assert market.overloaded_starts() > 0


def test_with_a_start_up_limit_a_starting_server_is_not_overloaded() -> None:
    stall = corpus.CaseMaker("stall")
    valid = corpus.Case("", "", Role.PLATFORM, (), 1, corpus.config_files(stall.platform, None, stall.app))
    market = run_case(
        valid, http_kinds(sale=150), seconds=2.5, during=restart_cold, servers=3, capacity=100.0
    )
    assert market.overloaded_starts() == 0


def test_a_deadline_beyond_the_callers_loses_calls() -> None:
    # The servers take longer than the callers wait, and the sidecar goes on waiting.
    kinds = [dataclasses.replace(kind, given_up_ms=300.0) for kind in rpc_kinds(look=20)]
    case = CASES["shop: deadline longer than callers wait"]
    assert run_case(case, kinds, behavior=ServerBehavior(min_delay_ms=900.0, max_delay_ms=1000.0)).lost() > 0


def test_a_promise_in_seconds_refuses_calls_on_an_idle_fleet() -> None:
    market = run_case(CASES["stall: promise-ms in seconds"], http_kinds(sale=40))
    assert market.tallies["sale"].refused > 0
    stall = corpus.CaseMaker("stall")
    valid = corpus.Case("", "", Role.PLATFORM, (), 1, corpus.config_files(stall.platform, None, stall.app))
    assert run_case(valid, http_kinds(sale=40)).tallies["sale"].refused == 0


def test_connections_kept_longer_than_by_servers_fail_sales() -> None:
    case = CASES["stall: idle time longer than servers allow"]
    market = run_case(case, http_kinds(sale=6), seconds=2.0, behavior=ServerBehavior(idle_close_ms=100.0))
    assert market.tallies["sale"].failed > 0


def test_a_burst_beyond_the_descriptors_loses_calls() -> None:
    kinds = [dataclasses.replace(kind, burst=200) for kind in http_kinds(listing=300)]
    market = run_case(
        CASES["stall: too few descriptors"],
        kinds,
        behavior=ServerBehavior(min_delay_ms=150.0, max_delay_ms=200.0),
    )
    tally = market.tallies["listing"]
    assert tally.lost + tally.failed + tally.refused > 0


def test_a_call_without_a_class_or_pattern_is_never_served() -> None:
    market = run_case(CASES["shop: method without a pattern"], rpc_kinds(sale=20))
    assert market.tallies["sale"].served == 0 and market.tallies["sale"].calls > 0


def test_a_call_with_its_key_at_a_different_path_is_never_served() -> None:
    market = run_case(CASES["shop: key at a different path"], rpc_kinds(listing=20))
    assert market.tallies["listing"].served == 0 and market.tallies["listing"].calls > 0


# Configurations with which a sidecar refuses to start


def start(files: corpus.ConfigFiles, folder: Path, **environ: str) -> subprocess.CompletedProcess[str]:
    files.write(folder)
    operator = ["--operator", str(folder / "sidecar.toml")] if Role.OPERATOR in files.contents else []
    command = [sys.executable, "-m", "anisestair", *operator]
    environ = {"BALANCER_CONFIG": str(folder / "config.json")} | environ
    return subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=30)


REFUSED = [
    *(item for item in CASES.values() if item.rule == "unreadable" and item.role is Role.PLATFORM),
    *(
        item
        for item in CASES.values()
        if item.rule == "refused-start" and item.role in (Role.PLATFORM, Role.OPERATOR)
    ),
    CASES["stall: promise-ms NaN"],
    CASES["stall: max-attempts 1e400"],
    CASES["stall: idempotency single-shot"],
    CASES["stall: sockets as text"],
]


@pytest.mark.parametrize("case", REFUSED, ids=[item.name for item in REFUSED])
def test_the_program_refuses_to_start_as_reported(case: corpus.Case, tmp_path: Path) -> None:
    found = start(case.files, tmp_path)
    assert found.returncode == 2, found.stderr
    assert found.stderr.count("\n") == 1 and "Traceback" not in found.stderr


def test_two_listeners_on_one_address_do_not_start(tmp_path: Path) -> None:
    case = CASES["shop: two listeners on one address"]
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    text = case.files.contents[Role.PLATFORM].decode().replace(":5000", f":{port}")
    operator = case.files.contents[Role.OPERATOR].decode().replace(":5000", f":{port}")
    files = corpus.ConfigFiles({Role.PLATFORM: text.encode(), Role.OPERATOR: operator.encode()})
    assert start(files, tmp_path).returncode == 1


def test_a_variable_that_names_a_different_file_wins_over_the_checked_file(tmp_path: Path) -> None:
    case = CASES["stall: different file"]
    named = read_json("x", "{}")
    assert named.failure is None
    (tmp_path / "other.json").write_text("{}")
    found = start(case.files, tmp_path, BALANCER_CONFIG=str(tmp_path / "other.json"))
    assert found.returncode == 2, "the sidecar does not read the valid file in the same folder"


def test_every_rule_that_is_an_error_has_a_test_of_its_effect() -> None:
    tested = {
        *(
            "sale-repeats",
            "duplicate-key",
            "keyed-group",
            "keyed-window",
            "turned-away",
            "drain",
            "cold-start",
        ),
        *("unknown-field", "time-outs", "unit", "idle", "capacity", "uncovered-call", "contradiction"),
        *(item.rule for item in REFUSED),
        "environment",
    }
    assert {item.rule for item in CASES.values()} == tested == set(RULES) - {"few-attempts", "drift"}


# Generated configurations


@pytest.mark.parametrize("seed", [1, 3, 5, 9, 14, 20])
def test_generated_configurations_keep_the_rules_under_faults(seed: int) -> None:
    app = parse_app(read_toml("x", corpus.random_app(seed)).data)
    market = asyncio.run(trial.run_market(app, derive(app), 3.0, seed))
    assert market.violations() == {}
    assert sum(tally.calls for tally in market.tallies.values()) > 0


@pytest.mark.parametrize("name", ["stall", "shop", "window"])
def test_the_examples_serve_through_a_kill_and_a_drain(name: str) -> None:
    _, app = corpus.load_example(name)
    market = asyncio.run(trial.run_market(app, derive(app), 4.0, 1))
    assert market.violations() == {}
    assert all(tally.served > 0 for tally in market.tallies.values() if tally.calls > 10)


# Start with an unsafe configuration


def test_a_sidecar_starts_despite_findings_and_prints_them(tmp_path: Path) -> None:
    stall = corpus.CaseMaker("stall")
    platform = copy.deepcopy(stall.platform)
    platform |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}
    platform["settings"]["classes"][0]["idempotency"] = "free"
    platform["settings"]["rules"]["drain-grace-ms"] = 9000

    async def test() -> None:
        async with fleet.run_program(ROOT, json.dumps(platform, indent=1)) as running:
            assert running.process.stderr is not None
            lines = [await asyncio.wait_for(running.process.stderr.readline(), 10.0) for _ in range(2)]
            output = b"".join(lines).decode()
            assert "config.json:" in output and "sale-repeats: settings.classes[0].idempotency" in output
            assert "drain: settings.rules.drain-grace-ms" in output
            reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
            writer.write(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()

    asyncio.run(test())


def test_a_failure_of_the_check_itself_does_not_prevent_a_start(monkeypatch: pytest.MonkeyPatch) -> None:
    from anisestair.configure import startup

    assert len(startup.finding_lines({})) == 1, "the variable is missing: one line, no exception"

    def fails(*_: object) -> None:
        raise RecursionError("deep")

    monkeypatch.setattr(startup, "check_platform", fails)
    assert startup.finding_lines({"BALANCER_CONFIG": __file__}) == [
        "the configuration could not be checked: RecursionError: deep"
    ]


def test_the_log_of_a_start_shows_a_limited_number_of_findings(tmp_path: Path) -> None:
    from anisestair.configure import startup

    stall = corpus.CaseMaker("stall")
    platform = stall.platform | {f"unheard-of-{number}": 0 for number in range(100)}
    (tmp_path / "config.json").write_text(json.dumps(platform))
    output = startup.finding_lines({"BALANCER_CONFIG": str(tmp_path / "config.json")})
    assert len(output) == startup.MAX_LINES + 1 and "80 more" in output[-1]


def test_a_configuration_of_the_platform_has_no_findings(tmp_path: Path) -> None:
    # The example of the deployment page, with all fields of the platform's settings.
    from anisestair.configure import startup

    settings: dict[str, Any] = copy.deepcopy(fleet.SETTINGS) | {
        **{"callers": {}, "family-info": {}, "kind-of-service": "mesh", "kinds": ["a"], "layer": 0, "me": 2},
        **{
            "over-share-worth": 0.1,
            "report": {},
            "scoring-mix": {"worst-class": 0.1},
            "tariffs": {},
            "tenants": [],
        },
        **{"tiers": [], "zones": ["a"], "worth-by": "request", "weight-source": "nominal", "peers-total": 3},
    }
    settings["limits"] |= {"cpu-us-per-s": 1, "most-held": 9, "multiplex": 1, "peers": False, "probing": True}
    settings["rules"] |= {"ask-within-ms": 10000.0, "overload-for-ms": 2000.0, "tip-multiple": 2.5}
    data = {
        **{"name": "n3", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:8500", "seed": "8c1f"},
        "limits": {"cores": 0.85, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": settings,
    }
    (tmp_path / "config.json").write_text(json.dumps(data))
    assert startup.finding_lines({"BALANCER_CONFIG": str(tmp_path / "config.json")}) == []
