"""How much of the time between SIGTERM and SIGKILL a process uses to shut down."""

EXIT_S, EXIT_SHARE = (
    0.4,
    1 / 12,
)  # margin before SIGKILL, in seconds and as a share of the grace; the smaller applies


def exit_after_s(grace_s: float) -> float:
    """Seconds from SIGTERM to the latest exit. ``grace_s``: seconds from SIGTERM to SIGKILL."""
    return grace_s - min(EXIT_S, EXIT_SHARE * grace_s)
