"""The statistics that the admin interface reports. docs/design/admin.md says where each is counted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from anisestair.sidecar import Sidecar

FINALS = ("passed", "dropped", "bad_gateway")  # in the order of `Sidecar.finals`


def report(sidecar: Sidecar) -> dict[str, Any]:
    """Returns the statistics; safe to call from another thread than the one that counts. Each figure is a
    single number or a list that is replaced as a whole, and may lag by the event being handled."""
    finals = list(sidecar.finals.items())
    found: dict[str, Any] = {
        name: {klass: counts[place] for klass, counts in finals if klass} for place, name in enumerate(FINALS)
    }
    found["upstream_tries"] = sidecar.lives.tries
    found["in_progress"] = sidecar.lives.owed + sidecar.lives.passing
    found["known_upstreams"] = sidecar.known
    found["skipped_upstreams"] = sidecar.balancer.avoided() + sidecar.known - sidecar.usable
    found["loads"], found["load_errors"] = sidecar.reloads
    return found
