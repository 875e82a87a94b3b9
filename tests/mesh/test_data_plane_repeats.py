"""Calls made by the execution of a repeat: detected where they begin, marked for the next hop, charged to the
retry budget."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec.structs import replace

from mesh.admission.repeat_runs import DEADLINE_TOLERANCE_MS, RepeatRuns
from mesh.admission.retry_budget import USED_SHARE, RetryBudget
from mesh.data_plane.call_messages import Call, CallHead, read_call
from mesh.data_plane.service_tables import ServiceBalancers
from rigs.mesh_peers import run_ready_callbacks, wait_until, with_timeout
from rigs.whole_sidecar import SidecarRig, peer_call, run_with_sidecar


def test_a_call_is_attributed_to_a_running_repeat_by_its_deadline() -> None:
    runs = RepeatRuns()
    assert not runs.may_have_made(1000.0)
    runs.begin("one", 1000.0)
    runs.begin("two", 5000.0)
    assert runs.may_have_made(1000.0 + DEADLINE_TOLERANCE_MS) and runs.may_have_made(
        5000.0 - DEADLINE_TOLERANCE_MS
    )
    assert not runs.may_have_made(1000.0 - DEADLINE_TOLERANCE_MS - 1.0) and not runs.may_have_made(3000.0)
    runs.end("one")
    runs.end("never began")
    assert not runs.may_have_made(1000.0) and len(runs) == 1


def test_charges_are_never_refused_and_reduce_the_budget_for_retries() -> None:
    budget = RetryBudget(0.2, 1000.0, 8.0)
    for _ in range(int(USED_SHARE * 8.0)):
        budget.charge(0.0)
    assert not budget.try_spend(0.0, 1)
    budget.charge(0.0)
    assert (budget.charged, budget.spent, budget.denied) == (5, 0, 1)
    assert budget.try_spend(2000.0, 1)


def test_a_frame_marks_a_repeat_and_frames_of_older_releases_lack_the_mark() -> None:
    call = replace(peer_call("a1", "/x"), repeat=True)
    head = call.head(1)
    assert read_call(head, b"").repeat
    fields = msgspec.to_builtins(head)
    # As from a release that does not send the mark.
    earlier = msgspec.convert({**fields, "v": fields["v"][:5]}, CallHead)
    assert not read_call(earlier, b"").repeat


class SentCalls:
    """Records the calls that a sidecar sends."""

    def __init__(self, balancers: ServiceBalancers) -> None:
        self.calls: list[Call] = []
        self._send = balancers.peer_links.send
        balancers.peer_links.send = self.send  # type: ignore[method-assign]

    def send(self, call: Call, *arguments: object) -> object:
        self.calls.append(call)
        return self._send(call, *arguments)  # type: ignore[arg-type]


def test_the_calls_of_a_repeats_run_are_told_on_as_repeats_and_charged(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, sent = rig.proxy, SentCalls(rig.proxy.balancers)
        ended: list[object] = []
        repeat = replace(peer_call("b1", "/read/hold"), remaining_ms=2000.0, repeat=True)
        proxy.upstream_dispatch.accept(repeat, ended.append)
        assert (await with_timeout(rig.upstream.incoming.get())).get(b"attempt-id") == "b1"

        client = await rig.client()
        # "own" is the upstream's own call.
        assert (await client.request("own", "/read/ok", time_remaining_ms=2000)).status == 200
        assert (await client.request("other", "/read/ok", time_remaining_ms=900)).status == 200
        assert [(call.attempt, call.repeat) for call in sent.calls] == [("own", True), ("other", False)]
        budget = proxy.balancers.by_service["s"].budget
        assert (budget.charged, budget.spent) == (1, 0)

        rig.upstream.release.set()
        await wait_until(lambda: bool(ended))
        await run_ready_callbacks()
        assert len(proxy.upstream_dispatch.repeats) == 0
        assert (await client.request("later", "/read/ok", time_remaining_ms=2000)).status == 200
        assert not sent.calls[-1].repeat

    run_with_sidecar(tmp_path, test)
