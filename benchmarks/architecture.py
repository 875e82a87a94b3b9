"""Draws the diagram of the mesh's packages from the import contract of its layers.

    python -m benchmarks.architecture [--write]

Prints a Mermaid flowchart with a box for each layer of the contract in ``pyproject.toml``, from the command
line down to the decisions, with the packages of the layer and the first sentence of each package's docstring.
With --write it replaces the diagram in ``docs/design/architecture.md``; ``tests/mesh/test_architecture.py``
checks that the page is up to date.
"""

from __future__ import annotations

import argparse
import ast
import tomllib
from pathlib import Path

PAGE = Path("docs/design/architecture.md")
BEGIN, END = "```mermaid\n", "```\n"
CONTAINER = "mesh"
TITLES = {  # title of each layer, by its first package
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


def read_layers(project: str) -> list[Layer]:
    """Returns the packages of each layer of the import contract, topmost layer first."""
    for contract in tomllib.loads(project)["tool"]["importlinter"]["contracts"]:
        if contract["type"] == "layers" and contract.get("containers") == [CONTAINER]:
            return [
                tuple(package.strip() for package in row.replace(":", "|").split("|"))
                for row in contract["layers"]
            ]
    raise LookupError(f"pyproject.toml has no layers contract with the container {CONTAINER}")


def first_sentence(package: str) -> str:
    """Returns the first sentence of a package's docstring."""
    docstring = ast.get_docstring(ast.parse(Path(CONTAINER, package, "__init__.py").read_text())) or ""
    return docstring.partition(".")[0].partition("\n")[0]


def draw_diagram(rows: list[Layer]) -> str:
    """Returns the flowchart; arrows lead from each layer to the next one that it may import."""
    lines = ["flowchart TD"]
    for number, row in enumerate(rows):
        lines.append(f'  subgraph layer{number}["{TITLES[row[0]]}"]')
        lines += [f'    {package}["<b>{package}</b><br/>{first_sentence(package)}"]' for package in row]
        lines.append("  end")
    lines += [f"  layer{number} --> layer{number + 1}" for number in range(len(rows) - 1)]
    return "\n".join(lines) + "\n"


def replace_diagram(page: str, new_diagram: str) -> str:
    """Returns the page with its diagram replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}{new_diagram}{END}{after}"


def main() -> None:
    """Prints the diagram and, with --write, updates the page."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--write", action="store_true")
    new_diagram = draw_diagram(read_layers(Path("pyproject.toml").read_text()))
    if parser.parse_args().write:
        PAGE.write_text(replace_diagram(PAGE.read_text(), new_diagram))
    print(new_diagram, end="")


if __name__ == "__main__":
    main()
