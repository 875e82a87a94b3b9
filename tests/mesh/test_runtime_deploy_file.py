"""The deploy file: the documented example passes, each mistake is reported with its field. What the programs
import of the sidecar."""

import ast
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.runtime.deploy_file import check_deploy

ROOT = Path(__file__).parents[2]


def role(**changed: Any) -> dict[str, Any]:
    """A valid role with some fields changed; None removes one."""
    valid = {"run": "python3 anisestair.py coordinator", "on": "core", "share": 1.0, "serves": ["supervisor"]}
    return {name: value for name, value in {**valid, **changed}.items() if value is not None}


def findings(*roles: dict[str, Any], **changed: Any) -> list[str]:
    named = {f"role{number}": one for number, one in enumerate(roles)}
    file = {"build": "true", "roles": named, **changed}
    return [line.removeprefix("roles.'role0'.") for line in check_deploy(tomli_w.dumps(file))]


SIDE = {"run": "python3 anisestair.py attendant", "on": "auxiliary", "serves": ["auxiliary"]}


def test_the_example_passes() -> None:
    assert findings(SIDE, role()) == []
    assert findings(role(share=None, count=2, apart=True, serves=None)) == []
    assert findings(role(share=1)) == []


@pytest.mark.parametrize(
    ("packages", "found"),
    [
        (["python3", "libgcc-s1", "g++"], []),
        ([], []),
        ("python3", ["packages: no list; write the names of the system packages that a clean build needs"]),
        (
            ["Python 3"],
            ["packages: 'Python 3' is no name of a package; write it as the package manager does"],
        ),
        ([3], ["packages: 3 is no name of a package; write it as the package manager does"]),
        (["dash", "dash"], ["packages: dash stands twice; name it once"]),
    ],
)
def test_packages_are_names_each_once(packages: object, found: list[str]) -> None:
    assert findings(role(), packages=packages) == found


@pytest.mark.parametrize(
    ("changed", "field"),
    [
        ({"run": None}, "run"),
        ({"run": "  "}, "run"),
        ({"run": "env A=1 python3 x"}, "run"),
        ({"run": "/usr/bin/npx x"}, "run"),
        ({"run": "python3 x && python3 y"}, "run"),
        ({"on": None}, "on"),
        ({"on": ["core"]}, "on"),
        ({"count": 1}, "count"),
        ({"share": None}, "share"),
        ({"share": 0}, "share"),
        ({"share": 1.01}, "share"),
        ({"share": float("nan")}, "share"),
        ({"share": True}, "share"),
        ({"share": None, "count": 0}, "count"),
        ({"share": None, "count": 1.0}, "count"),
        ({"serves": "supervisor"}, "serves"),
        ({"serves": ["operator"]}, "serves"),
        ({"serves": ["supervisor", "supervisor"]}, "serves"),
        ({"apart": 1}, "apart"),
        ({"zone": "a"}, "'zone'"),
    ],
)
def test_each_mistake_in_a_role_is_told(changed: dict[str, Any], field: str) -> None:
    found = findings(role(**changed))
    assert len(found) == 1 and found[0].startswith(f"{field}: ") and "; " in found[0], found


def test_roles_of_one_class_share_neither_duty_nor_more_than_two_machines() -> None:
    assert findings(role(), role(serves=["auxiliary"])) == []
    assert "all serve supervisor" in findings(role(), role())[0]
    assert findings(role(), {**SIDE, "serves": ["supervisor"]}) == []
    assert "keep at most 2" in findings(role(), role(serves=[]), role(serves=[]))[0]


def test_the_file_itself() -> None:
    assert findings(role(), build="")[0].startswith("build: ")
    assert findings()[0].startswith("roles: none")
    assert findings(role(), more=1)[0].startswith("'more'")
    assert check_deploy("[")[0].startswith("deploy: no TOML")
    assert check_deploy("a = " + "[" * 5000)[0].startswith("deploy: no TOML")
    assert check_deploy("build = 'x'\nroles.a = 5")[0].startswith("roles.'a'")


@settings(max_examples=80, deadline=None)
@given(
    st.text()
    | st.lists(
        st.sampled_from(["[roles.a]", "\n", "on=", "run=", "5", "[[5]]", "'x'", "{}"]), max_size=12
    ).map("".join)
)
def test_any_text_is_told_and_never_raises(text: str) -> None:
    assert check_deploy(text)


@pytest.mark.parametrize("program", ["data_plane", "control_plane"])
def test_a_program_of_the_mesh_loads_nothing_of_the_sidecar_in_service_but_what_they_share(
    program: str,
) -> None:
    script = (
        f"import sys, mesh.{program}.program;"
        "print(sorted(n for n in sys.modules if n.startswith('anisestair.') and n.count('.') == 1))"
    )
    found = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert set(ast.literal_eval(found.stdout)) <= {"anisestair.flow", "anisestair.http"}
