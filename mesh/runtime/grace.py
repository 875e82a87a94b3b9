"""How much of the time between SIGTERM and the kill a process uses."""

EXIT_S, EXIT_SHARE = 0.4, 1 / 12  # before the kill, in seconds and as a share of the grace; the lesser counts


def exit_after_s(grace_s: float) -> float:
    """Seconds from SIGTERM to the latest exit. ``grace_s``: seconds from SIGTERM to the kill."""
    return grace_s - min(EXIT_S, EXIT_SHARE * grace_s)
