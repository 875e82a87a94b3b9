"""The state of the storm detection as a table for people. No I/O."""

from __future__ import annotations

from anisestair.storms.watch import Watch


def lines(watch: Watch, now: float) -> list[str]:
    """Return the lines: name, value and unit of each statistic, then the recent changes, the newest last."""
    detector, snapshot = watch.detector, watch.snapshot
    rows = [
        (
            "state",
            detector.state.value,
            f"for {max(now - detector.since, 0.0) / 1000.0:.1f} s: {detector.reason}",
        )
    ]
    if snapshot is not None:
        rows += [
            ("requests", f"{snapshot.request_rate:.1f}", "per second"),
            (
                "originals",
                f"{snapshot.original_rate:.1f}",
                f"per second, without retries; baseline {snapshot.baseline_rate:.1f}",
            ),
            ("amplification", f"{snapshot.amplification:.2f}", "requests per original request"),
            ("retries", f"{snapshot.retry_share:.1%}", "of requests, marked or recognised"),
            ("unserved", f"{snapshot.unserved_share:.1%}", "of requests, refused or failed"),
            ("connects", f"{snapshot.connect_rate:.1f}", "per second"),
            ("connect errors", f"{snapshot.connect_failure_share:.1%}", "of attempts"),
            ("errors", f"{snapshot.error_share:.1%}", "of attempts"),
            ("successes", f"{snapshot.success_rate:.1f}", "per second"),
            ("unresponsive", f"{snapshot.unresponsive_share:.1%}", f"of {snapshot.servers} servers"),
            (
                "warming up",
                str(snapshot.warming_servers),
                f"servers, at {snapshot.warming_rate_share:.0%} of their earlier rate of successes",
            ),
            (
                "oldest answer",
                f"{snapshot.oldest_answer_ms / 1000.0:.1f}",
                "seconds ago, of the server silent for longest",
            ),
        ]
    table = [f"{name:<14} {value:>10}  {unit}" for name, value, unit in rows]
    for change in watch.changes:
        ago_s = (now - change.at) / 1000.0
        table.append(f"{ago_s:8.1f} s ago  {change.before.value} -> {change.after.value}: {change.reason}")
    return table
