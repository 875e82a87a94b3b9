"""The picture of the mesh's packages, drawn from the import contract of its layers.

    python -m benchmarks.architecture [--write]

Printed is a Mermaid flowchart: a box for each layer of the contract in ``pyproject.toml``, from the command
line down to the decisions, with its packages and what the docstring of each says that it is. With --write it
replaces the picture in ``docs/design/architecture.md``; ``tests/mesh/test_architecture.py`` holds that the
page has this one.
"""

from __future__ import annotations

import argparse
import ast
import tomllib
from pathlib import Path

PAGE = Path("docs/design/architecture.md")
BEGIN, END = "```mermaid\n", "```\n"
CONTAINER = "mesh"
TITLES = {  # of a layer, by its first package
    "cli": "command line",
    "control_plane": "programs",
    "dissemination": "concerns with I/O",
    "transport": "links and log",
    "admission": "decisions without I/O: calls and changes",
    "membership": "decisions without I/O: who is there",
    "ownership": "decisions without I/O: keys",
    "replication": "decisions without I/O: state",
}
Layer = tuple[str, ...]


def layers(project: str) -> list[Layer]:
    """The packages of each layer, the topmost first, as the contract of the mesh's layers has them."""
    for contract in tomllib.loads(project)["tool"]["importlinter"]["contracts"]:
        if contract["type"] == "layers" and contract.get("containers") == [CONTAINER]:
            return [
                tuple(package.strip() for package in row.replace(":", "|").split("|"))
                for row in contract["layers"]
            ]
    raise LookupError(f"pyproject.toml has no contract of layers within {CONTAINER}")


def purpose(package: str) -> str:
    """What a package is, as the first sentence of its docstring says."""
    told = ast.get_docstring(ast.parse(Path(CONTAINER, package, "__init__.py").read_text())) or ""
    return told.partition(".")[0].partition("\n")[0]


def picture(rows: list[Layer]) -> str:
    """The flowchart, whose arrows lead from each layer to the next one that it may import."""
    lines = ["flowchart TD"]
    for number, row in enumerate(rows):
        lines.append(f'  subgraph layer{number}["{TITLES[row[0]]}"]')
        lines += [f'    {package}["<b>{package}</b><br/>{purpose(package)}"]' for package in row]
        lines.append("  end")
    lines += [f"  layer{number} --> layer{number + 1}" for number in range(len(rows) - 1)]
    return "\n".join(lines) + "\n"


def with_picture(page: str, drawn: str) -> str:
    """The page with this picture in place of its own."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}{drawn}{END}{after}"


def main() -> None:
    """Print the picture, or put it into the page."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--write", action="store_true")
    drawn = picture(layers(Path("pyproject.toml").read_text()))
    if words.parse_args().write:
        PAGE.write_text(with_picture(PAGE.read_text(), drawn))
    print(drawn, end="")


if __name__ == "__main__":
    main()
