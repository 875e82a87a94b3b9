"""Checks the deploy file, which says which program runs on which machines, before any machine is used."""

import re
import tomllib
from collections.abc import Mapping
from typing import Any

MACHINE_CLASSES = ("auxiliary", "core")
SERVICES = ("auxiliary", "supervisor")
MAX_ROLES_PER_CLASS = 2
_WRAPPERS = ("env", "npx")
_SHELL_CHARACTERS = frozenset("|&;<>$`\"'\\*?(){}~#")
_PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")  # Debian policy 5.6.1
_ROLE_FIELDS = frozenset({"run", "on", "count", "share", "apart", "serves"})


def check_deploy(text: str) -> tuple[str, ...]:
    """The mistakes in the text of a deploy file, one line each: field, mistake, remedy. () if there are
    none. Never raises."""
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return (f"deploy: no TOML ({' '.join(str(error).split())}); write the file anew",)
    findings = []
    build = tables.get("build")
    if not isinstance(build, str) or not build.strip():
        findings.append(
            "build: missing or no text; write the shell line that installs what the programs need"
        )
    findings += [
        f"{name!r}: no field of the file; remove it"
        for name in tables
        if name not in ("build", "packages", "roles")
    ]
    findings += _check_packages(tables.get("packages", []))
    roles = tables.get("roles")
    if not isinstance(roles, dict) or not roles:
        return (*findings, "roles: none; write [roles.NAME] with run, on and serves")
    for name, role in roles.items():
        if isinstance(role, dict):
            findings += [f"roles.{name!r}.{finding}" for finding in _check_role(role)]
        else:
            findings.append(f"roles.{name!r}: no table; write [roles.NAME]")
    well_formed = {name: role for name, role in roles.items() if isinstance(role, dict)}
    return (*findings, *_check_classes(well_formed))


def _check_packages(packages: object) -> list[str]:
    if not isinstance(packages, list):
        return ["packages: no list; write the names of the system packages that a clean build needs"]
    findings = []
    for name in packages:
        if not isinstance(name, str) or not _PACKAGE_NAME.fullmatch(name):
            findings.append(
                f"packages: {name!r} is no name of a package; write it as the package manager does"
            )
        elif packages.count(name) > 1:
            findings.append(f"packages: {name} stands twice; name it once")
    return list(dict.fromkeys(findings))


def _check_role(role: Mapping[str, Any]) -> list[str]:
    findings = [f"{name!r}: no field of a role; remove it" for name in role if name not in _ROLE_FIELDS]
    run = role.get("run")
    if not isinstance(run, str) or not run.split():
        findings.append("run: missing or no text; write the program and its arguments")
    else:
        if run.split()[0].rpartition("/")[2] in _WRAPPERS:
            findings.append(f"run: begins with {run.split()[0]}; name the program itself")
        if _SHELL_CHARACTERS & set(run):
            characters = " ".join(sorted(_SHELL_CHARACTERS & set(run)))
            findings.append(
                f"run: has {characters} and no shell reads it; write the program and its arguments plainly"
            )
    on = role.get("on")
    if on not in MACHINE_CLASSES:
        findings.append(f"on: no class of machines; write one of {', '.join(MACHINE_CLASSES)}")
    serves = role.get("serves", [])
    if not isinstance(serves, list) or any(service not in SERVICES for service in serves):
        findings.append(f"serves: not a list of {' and '.join(SERVICES)}; name these alone")
    elif len(set(serves)) < len(serves):
        findings.append("serves: names one twice; name each once")
    if not isinstance(role.get("apart", False), bool):
        findings.append("apart: neither true nor false; write one of them")
    return findings + _check_instance_count(role)


def _check_instance_count(role: Mapping[str, Any]) -> list[str]:
    findings = []
    count, share = role.get("count"), role.get("share")
    if count is not None and share is not None:
        findings.append("count: given beside share; remove one of them")
    # A role on auxiliary machines runs on all of them, regardless of count and share.
    if count is None and share is None and role.get("on") != "auxiliary":
        findings.append("share: missing, and count too; give one of them")
    if count is not None and (isinstance(count, bool) or not isinstance(count, int) or count < 1):
        findings.append("count: no whole number of 1 or more; write one")
    if share is not None and (
        isinstance(share, bool) or not isinstance(share, int | float) or not 0 < share <= 1
    ):
        findings.append("share: no number above 0 and at most 1; write one")
    return findings


def _check_classes(roles: Mapping[str, Mapping[str, Any]]) -> list[str]:
    """Checks the roles of each machine class against each other."""
    findings = []
    for machine_class in MACHINE_CLASSES:
        class_roles = {name: role for name, role in roles.items() if role.get("on") == machine_class}
        if len(class_roles) > MAX_ROLES_PER_CLASS:
            findings.append(
                f"roles: {len(class_roles)} on {machine_class}; keep at most {MAX_ROLES_PER_CLASS} there"
            )
        for service in SERVICES:
            serving = [name for name, role in class_roles.items() if service in _as_list(role.get("serves"))]
            if len(serving) > 1:
                names = ", ".join(map(repr, serving))
                findings.append(f"roles: {names} on {machine_class} all serve {service}; let one of them")
    return findings


def _as_list(value: object) -> list[object]:
    return value if isinstance(value, list) else []
