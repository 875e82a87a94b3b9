"""An operator's call under the platform's retry rules: where it goes next, and when it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest

from anisestair.http import codec as http
from mesh.cli import write_client
from mesh.cli.write_client import MIN_PAUSE_S, Accepted, Indeterminate, Outcome, Rejected, send
from mesh.transport.http_calls import Answer, HttpServer

BODY = b'{"apply": {}}'


class Core:
    """Control processes with scripted answers, given in turn; the last one repeats."""

    def __init__(self, *answers: Sequence[Answer | None]) -> None:
        self.answers = [list(one) for one in answers]
        self.calls: list[tuple[int, bytes]] = []
        self.pauses: list[float] = []
        self.hangs = asyncio.Event()

    async def send(self, within_s: float = 5.0) -> Outcome:
        servers = []
        addresses = []
        for at in range(len(self.answers)):

            async def handle(message: http.Message, at: int = at) -> Answer:
                assert message.method == b"PATCH"
                self.calls.append((at, message.body))
                answer = self.answers[at].pop(0) if len(self.answers[at]) > 1 else self.answers[at][0]
                if answer is None:
                    await self.hangs.wait()
                    return Answer(500)
                location = answer.location
                if location.isdigit():
                    host, port = addresses[int(location)]
                    location = f"http://{host}:{port}/configuration"
                return Answer(answer.status, answer.body, location)

            servers.append(HttpServer(handle))
            addresses.append(await servers[-1].listen(("127.0.0.1", 0)))

        async def pause(wait: float) -> None:
            self.pauses.append(wait)

        outcome = await send(addresses, b"PATCH", b"/configuration", BODY, within_s, pause)
        self.hangs.set()
        for http_server in servers:
            http_server.stop()
        return outcome


def play(*answers: Sequence[Answer | None], within_s: float = 5.0) -> tuple[Outcome, Core]:
    async def run() -> tuple[Outcome, Core]:
        core = Core(*answers)
        return await core.send(within_s), core

    return asyncio.run(run())


def test_it_goes_on_after_failures_with_a_growing_pause_and_is_the_same_each_time() -> None:
    outcome, core = play([Answer(503), Answer(429), Answer(429)], [Answer(408), Answer(429), Answer(200)])
    assert isinstance(outcome, Accepted) and outcome.tries == 6
    assert [at for at, _ in core.calls] == [0, 1, 0, 1, 0, 1] and {body for _, body in core.calls} == {BODY}
    assert core.pauses == [MIN_PAUSE_S * wait for wait in (1, 2, 4, 8, 10)]


@pytest.mark.parametrize("status", [400, 409, 412, 413, 422])
def test_a_clear_no_ends_it_at_once(status: int) -> None:
    outcome, core = play([Answer(status, b'{"error": "route r: bad"}')], [Answer(200)])
    assert outcome == Rejected(status, "route r: bad") and len(core.calls) == 1


def test_another_4xx_ends_it_at_the_third() -> None:
    outcome, core = play([Answer(404)], [Answer(403)])
    assert isinstance(outcome, Rejected) and len(core.calls) == 3


def test_redirections_are_followed_twice_and_no_further() -> None:
    outcome, core = play([Answer(307, location="1")], [Answer(307, location="2")], [Answer(200)])
    assert isinstance(outcome, Accepted) and [at for at, _ in core.calls] == [0, 1, 2]
    on = [[Answer(307, location=f"{at + 1}")] for at in range(3)]
    outcome, core = play(*on, [Answer(200)])
    assert isinstance(outcome, Accepted) and [at for at, _ in core.calls] == [0, 1, 2, 1, 2, 3]


def test_silence_is_left_behind_and_nobody_at_all_is_told_apart_from_no_clear_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(write_client, "ANSWER_TIMEOUT_S", 0.05)
    outcome, core = play([None], [Answer(200)])
    assert isinstance(outcome, Accepted) and [at for at, _ in core.calls] == [0, 1]
    outcome, _ = play([None], within_s=0.1)
    assert isinstance(outcome, Indeterminate) and not outcome.any_answer
    outcome, _ = play([Answer(503, b'{"error": "too few"}')], within_s=0.15)
    assert outcome == Indeterminate("503: too few", True)
