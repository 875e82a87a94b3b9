"""The `anisestair` command: runs a sidecar or a subcommand. Each subcommand imports only what it needs."""

from __future__ import annotations

import sys


def main(arguments: list[str]) -> int:
    """Runs a sidecar if there are no arguments or only an operator's file, otherwise the named subcommand."""
    if not arguments or arguments[0] == "--operator":
        from anisestair import serving

        return serving.run_with(arguments[1:]) if arguments else serving.run_sidecar()
    if arguments[0] == "config":
        from anisestair.configure import command as configure

        return configure.main(arguments[1:])
    if arguments[0] == "states":
        from anisestair.states import command

        return command.main(arguments[1:])
    if arguments[0] == "storms":
        from anisestair.storms import command as storms

        return storms.main(arguments[1:])
    print(
        f"anisestair: {arguments[0]}: unknown subcommand; use config, states or storms, or --operator FILE",
        file=sys.stderr,
    )
    return 2


def script() -> int:
    """Entry point of the installed command."""
    return main(sys.argv[1:])


if __name__ == "__main__":
    raise SystemExit(script())
