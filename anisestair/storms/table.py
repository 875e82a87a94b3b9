"""The state of storms as a table of lines, for people. No I/O."""

from __future__ import annotations

from anisestair.storms.watch import Watch


def lines(watch: Watch, now: float) -> list[str]:
    """Name, value and unit a line; then the last changes, newest last."""
    judge, seen = watch.judge, watch.seen
    rows = [("state", judge.state.value, f"for {max(now - judge.since, 0.0) / 1000.0:.1f} s: {judge.reason}")]
    if seen is not None:
        rows += [
            ("tries", f"{seen.offered:.1f}", "a second"),
            ("first tries", f"{seen.first:.1f}", f"a second; usually {seen.usual:.1f}"),
            ("amplification", f"{seen.amplification:.2f}", "tries for each first one"),
            ("repeats", f"{seen.repeat_share:.1%}", "of the tries, marked or recognised"),
            ("turned away", f"{seen.turned_share:.1%}", "of the tries, refused or failed"),
            ("connects", f"{seen.opened:.1f}", "a second"),
            ("unconnected", f"{seen.unconnected_share:.1%}", "of the attempts"),
            ("errors", f"{seen.error_share:.1%}", "of the attempts"),
            ("answers", f"{seen.answered:.1f}", "a second"),
            ("silent", f"{seen.silent_share:.1%}", f"of {seen.servers} servers"),
            (
                "returning",
                str(seen.returning),
                f"servers, at {seen.back_share:.0%} of what they answered before",
            ),
            ("oldest belief", f"{seen.oldest_ms / 1000.0:.1f}", "seconds"),
        ]
    made = [f"{name:<14} {value:>10}  {unit}" for name, value, unit in rows]
    for change in watch.changes:
        ago = (now - change.at) / 1000.0
        made.append(f"{ago:8.1f} s ago  {change.before.value} -> {change.after.value}: {change.reason}")
    return made
