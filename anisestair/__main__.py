"""The command: a sidecar that serves, or the subcommand that the first argument names. Each loads its own."""

from __future__ import annotations

import sys


def main(arguments: list[str]) -> int:
    """Serve, with no arguments or with an operator's file; else the subcommand that the first one names."""
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
        f"anisestair: {arguments[0]}: not a subcommand: config, states, storms; or none (--operator FILE)",
        file=sys.stderr,
    )
    return 2


def script() -> int:
    """The installed command."""
    return main(sys.argv[1:])


if __name__ == "__main__":
    raise SystemExit(script())
