"""Reload of settings under load: which files are accepted, when they take effect, and that no request changes
its class."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sockets import SETTINGS, FakeDiscovery, Peer, Upstream, host, serve, world
from test_process import config, connect, program

from anisestair.admin.figures import report
from anisestair.configure import platform_file, retune
from anisestair.configure.effective import ConfigError
from anisestair.http import codec as http
from hareloom import Balancer, wire
from hareloom import interface as api

GOOD = config("127.0.0.1:1", host("s-1", "127.0.0.1:2"))
KEY_PATHS = retune.key_paths(GOOD)
ENV: dict[str, str] = {}


def change(at: list[Any], value: Any) -> dict[str, Any]:
    """The valid file with one value replaced; None removes the key."""
    data = copy.deepcopy(GOOD)
    place: Any = data
    for key in at[:-1]:
        place = place[key]
    if value is None:
        del place[at[-1]]
    else:
        place[at[-1]] = value
    return data


def test_a_good_file_is_taken_and_a_class_may_come_or_go() -> None:
    assert retune.check_reload(GOOD, KEY_PATHS, ENV, 0.0).settings == wire.parse_settings(
        json.dumps(SETTINGS)
    )
    more = change(
        ["settings", "classes"], [*SETTINGS["classes"], SETTINGS["classes"][0] | {"name": "sale-v2"}]
    )
    assert len(retune.check_reload(more, KEY_PATHS, ENV, 0.0).settings.classes) == 3
    assert retune.check_reload(change(["settings", "classes"], SETTINGS["classes"][1:]), KEY_PATHS, ENV, 0.0)


@pytest.mark.parametrize("value", [0, -1, float("nan"), float("inf"), True, "3", 1e400, [], {}])
@pytest.mark.parametrize(
    "at",
    [["settings", "classes", 0, "give-up-ms"], ["settings", "limits", "max-attempts"]],
    ids=["deadline", "attempts"],
)
def test_what_is_no_number_above_0_turns_the_file_down(at: list[Any], value: Any) -> None:
    with pytest.raises(ConfigError, match=str(at[-1])):
        retune.check_reload(change(at, value), KEY_PATHS, ENV, 0.0)


def places(data: Any, at: tuple[Any, ...] = ()) -> list[list[Any]]:
    """All required keys of a file."""
    found = []
    items = data.items() if isinstance(data, dict) else enumerate(data) if isinstance(data, list) else ()
    for key, item in items:
        if isinstance(data, dict) and (
            at[:2] != ("settings", "classes") or key in ("name", "promise-ms", "give-up-ms")
        ):
            found.append([*at, key])
        if key != "known":
            found += places(item, (*at, key))
    return found


@pytest.mark.parametrize("at", places(GOOD), ids=lambda at: ".".join(map(str, at)))
def test_a_file_that_lacks_any_key_is_turned_down(at: list[Any]) -> None:
    with pytest.raises(ConfigError):
        retune.check_reload(change(at, None), KEY_PATHS, ENV, 0.0)


@pytest.mark.parametrize("data", [None, [], "x", 3, {}, {"settings": []}, {"settings": {"classes": 3}}])
def test_other_json_is_turned_down(data: Any) -> None:
    with pytest.raises(ConfigError):
        retune.check_reload(data, KEY_PATHS, ENV, 0.0)


def test_a_class_twice_and_a_hidden_name_are_turned_down() -> None:
    for name in ("listing", "x\0"):
        with pytest.raises(ConfigError):
            retune.check_reload(change(["settings", "classes", 0, "name"], name), KEY_PATHS, ENV, 0.0)


def test_every_cut_of_a_good_file_is_turned_down(tmp_path: Path) -> None:
    path, text = tmp_path / "config.json", json.dumps(GOOD).encode()
    environ = {"BALANCER_CONFIG": str(path)}
    for end in range(len(text)):
        path.write_bytes(text[:end])
        with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
            platform_file.read(environ)
    path.write_bytes(text)
    assert platform_file.read(environ) == GOOD


def test_a_file_that_goes_on_changing_is_never_taken_half(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    sound: Callable[..., Any] = platform_file.os.stat
    writes = 0

    def touched(*arguments: Any) -> Any:
        nonlocal writes
        writes += 1
        if writes <= limit:
            path.write_text(json.dumps(GOOD) + " " * writes)
        return sound(*arguments)

    monkeypatch.setattr(platform_file.os, "stat", touched)
    limit = 2
    assert platform_file.read({"BALANCER_CONFIG": str(path)}) == GOOD
    limit = 10**9
    with pytest.raises(ConfigError, match="changes while it is read"):
        platform_file.read({"BALANCER_CONFIG": str(path)})


# The balancer

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
CLASS = st.builds(
    api.RequestClass,
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from([100.0, 400.0]),
    st.sampled_from([800.0, 1200.0]),
    st.sampled_from([1.0, 2.0, 5.0]),
    effect=st.sampled_from(api.Effect),
    window_ms=st.just(10_000.0),
)
SETTING = st.builds(
    api.Settings,
    st.lists(CLASS, min_size=1, max_size=3, unique_by=lambda item: item.name).map(tuple),
    st.integers(1, 3),
    limits=st.builds(api.Limits, st.integers(1, 4), st.booleans()),
)
ENDS = [api.Outcome.OK, api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.CONNECT_FAILED, api.Outcome.FULL]


@given(SETTING, st.data())
def test_no_order_of_changes_alters_an_open_request_or_loses_one(
    first: api.Settings, data: st.DataObject
) -> None:
    """Each request ends once, by the class and the number of attempts valid when it was accepted."""
    balancer, now, settings = Balancer(first, 1), 0.0, first
    entries = tuple(api.ServerEntry(f"s{number}") for number in range(3))
    balancer.handle(now, api.ServerList(api.ListKind.FULL, 1, entries))
    taken: dict[str, tuple[api.RequestClass, int]] = {}
    sends: dict[str, list[bool]] = {}  # by request: whether each attempt so far may have run
    out: list[tuple[str, int]] = []
    final: set[str] = set()
    timers: list[tuple[float, int]] = []

    def carry(actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                klass, most = taken[action.request]
                ran = sends.setdefault(action.request, [])
                assert action.request not in final and len(ran) < most
                assert not (any(ran) and klass.effect is api.Effect.UNSAFE)
                out.append((action.request, len(ran)))
                ran.append(True)
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.request not in final
                final.add(action.request)
            elif isinstance(action, api.SetTimer):
                timers.append((now + action.delay_ms, action.token))

    for number in range(data.draw(st.integers(1, 25))):
        now += data.draw(st.sampled_from([1.0, 50.0, 500.0]))
        while due := [item for item in timers if item[0] <= now]:
            timers.remove(min(due))
            carry(balancer.handle(now, api.Timer(min(due)[1])))
        what = data.draw(st.sampled_from(["ask", "ask", "end", "end", "retune"]))
        if what == "retune":
            settings = data.draw(SETTING)
            carry(balancer.handle(now, api.Retune(settings)))
        elif what == "ask":
            klass = data.draw(st.sampled_from(settings.classes))
            name = f"r{number}"
            taken[name] = (klass, settings.limits.max_attempts)
            carry(balancer.handle(now, api.Request(name, klass.name, now + klass.deadline_ms)))
        elif out:
            request, attempt = out.pop(data.draw(st.integers(0, len(out) - 1)))
            outcome = data.draw(st.sampled_from(ENDS))
            sends[request][attempt] = outcome not in api.NEVER_RAN
            closed = outcome is api.Outcome.OK or request in final
            if outcome is api.Outcome.OK:
                final.add(request)
            carry(balancer.handle(now, api.AttemptEnded(request, attempt, outcome, 20.0, closed)))
    now += 5000.0
    while timers:
        timers.sort()
        at, token = timers.pop(0)
        now = max(now, at)
        carry(balancer.handle(now, api.Timer(token)))
    for request, attempt in out:
        carry(balancer.handle(now, api.AttemptEnded(request, attempt, api.Outcome.TIMEOUT, 5000.0, True)))
    assert final >= {name for name in taken if name not in {item for item, _ in out}}
    assert not balancer.requests and not any(balancer.queue.queues) and balancer.queue.waiting == 0


def test_what_is_learnt_of_a_class_goes_on_where_it_stays() -> None:
    one, two = api.RequestClass("a", 400.0, 1200.0), api.RequestClass("b", 400.0, 1200.0)
    balancer = Balancer(api.Settings((one, two)), 1)
    balancer.handle(0.0, api.ServerList(api.ListKind.FULL, 1, (api.ServerEntry("s", kind="m"),)))
    for number in range(50):
        balancer.handle(number * 10.0, api.Request(f"r{number}", "a", 1e6))
        balancer.handle(number * 10.0 + 5.0, api.AttemptEnded(f"r{number}", 0, api.Outcome.OK, 5.0, True))
    kept, cost = balancer.classes["a"], dict(balancer.classes["a"].costs)
    changed = api.RequestClass("a", 400.0, 900.0, effect=api.Effect.SAFE)
    balancer.handle(600.0, api.Retune(api.Settings((one, api.RequestClass("c", 100.0, 1200.0)))))
    assert balancer.classes["a"] is kept and set(balancer.classes) == {"a", "c"}
    assert balancer.classes["c"].costs == {"m": balancer.classes["c"].default_cost}
    balancer.handle(700.0, api.Retune(api.Settings((changed,))))
    assert balancer.classes["a"] is not kept and balancer.classes["a"].costs == cost


# Over sockets


def with_classes(*classes: dict[str, Any], **limits: Any) -> api.Settings:
    return wire.parse_settings(
        json.dumps(SETTINGS | {"classes": classes, "limits": SETTINGS["limits"] | limits})
    )


SALE, LISTING = SETTINGS["classes"]


def test_a_request_ends_under_the_rules_that_it_was_taken_under() -> None:
    """A sale is outstanding while sales become safe to retry: it is reset and not retried. The next one is,
    as a GET."""

    async def run() -> None:
        release, seen = asyncio.Event(), []

        async def reset(peer: Peer, message: http.Message) -> None:
            seen.append((message.method, message.get(b"x-correlation-id")))
            if message.method == b"GET":
                return await peer.answer(200)
            await release.wait()
            peer.reset()

        upstream = Upstream(reset)
        await upstream.start()
        async with world(FakeDiscovery(), host("s-1", upstream.dial)) as there:
            client = await there.client()
            client.send("old")
            await upstream.seen.get()
            there.sidecar.retune(with_classes(SALE | {"idempotency": "free"}))
            late = await there.client()  # a client not updated yet: the old form, by the old rules
            late.send("late")
            await upstream.seen.get()
            release.set()
            for one, status in ((client, 502), (late, 502)):
                answer = await one.read()
                assert answer is not None and answer.status == status
            assert [name for _, name in seen].count("old") == [name for _, name in seen].count("late") == 1
            new = await there.client()
            new.send("new", method=b"GET", body=b"")
            answer = await new.read()
            assert answer is not None and answer.status == 200
            there.sidecar._end_grace()
            again = await there.client()
            assert (await again.ask("post")).status == 400  # only the new form is accepted from here on
            assert set(report(there.sidecar)["passed"]) == {"sale", "listing"}  # the counts are kept
        upstream.close()

    asyncio.run(run())


def test_sighups_under_load_lose_nothing_and_are_counted(tmp_path: Path) -> None:
    """One file in three is invalid; each is applied or rejected before the next is written."""

    async def run() -> None:
        upstream = Upstream(serve)
        async with program(tmp_path, upstream) as (process, port):
            assert process.stderr is not None
            over, statuses, count = False, [], 0

            async def load() -> None:
                nonlocal count
                client = await connect(port)
                while not over:
                    count += 1
                    statuses.append((await client.ask(f"r{count}")).status)
                client.writer.close()

            task = asyncio.create_task(load())
            file = tmp_path / "config.json"
            good = json.loads(file.read_text())
            for number in range(12):
                data = copy.deepcopy(good)
                data["settings"]["limits"]["max-attempts"] = 2 + number % 2
                if number % 3 == 0:
                    data["settings"]["classes"][0]["give-up-ms"] = -1
                other = tmp_path / "next.json"
                other.write_text(json.dumps(data))
                other.rename(file)
                process.send_signal(signal.SIGHUP)
                wanted = b"give-up-ms: -1 is not a number above 0" if number % 3 == 0 else b"discovery is at"
                while wanted not in await asyncio.wait_for(process.stderr.readline(), 20):
                    pass
            over = True
            await task
            assert set(statuses) == {200}

    asyncio.run(run())
