"""The kinds of troubles, their variants and figures, read from what the bench prints of them. No I/O.

The bench prints general words, an empty line, then a line for each kind: `kind: what it does`, where `how:`
goes before its variants, and the names of figures before their defaults in brackets. All is read from there,
so that new kinds, variants and figures come in by themselves.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Entry = dict[str, Any]

FIGURES = ("share", "count", "x", "for_s", "gap_s")
PLACES = ("zone", "service", "class")
_EXPLAINS = frozenset(
    ("a", "all", "an", "are", "for", "in", "is", "it", "of", "on", "the", "their", "they", "to", "with")
)
_LEAVES = re.compile(r"\bleave\b|\bgo\b|\bfor good\b")
_RETURNS = re.compile(r"\bcomes?\b|\breplaced\b")
_FIGURE = re.compile(rf"\b({'|'.join(FIGURES)})\b(?: (?:ms|s)\b)?(?: \((\d*\.?\d+)\))?")


class KindsTextError(Exception):
    """What the bench printed names no kinds; one line."""


@dataclass(frozen=True)
class Kind:
    """One kind of trouble, with all that an entry of it may hold."""

    name: str
    variants: tuple[str, ...] = ()
    modifiers: tuple[str, ...] = ()  # variants that stand beside another one
    figures: Mapping[str, float | None] = field(
        default_factory=dict
    )  # with their defaults, where these are said
    whole_x: bool = False  # x of them at a time
    target: str = ""  # machines, servers, or neither
    places: tuple[str, ...] = ()  # that it may name, beside those that all of its sort may
    removing: frozenset[str] = frozenset()  # variants that take away for good; "" where the kind itself does
    replacing: frozenset[str] = frozenset()  # variants after which others come in place of what went

    def removes(self, entry: Entry) -> bool:
        """Whether what the entry strikes stays away."""
        variants = {*str(entry.get("how", "")).split()}
        if not self.target or variants & self.replacing:
            return False
        return "" in self.removing or bool(variants & self.removing)

    def sparing(self, entry: Entry) -> Entry | None:
        """The same without what stays away; none where the kind always takes away for good."""
        if "" in self.removing:
            return None
        variants = [word for word in entry["how"].split() if word not in self.removing]
        rest = {key: value for key, value in entry.items() if key != "how"}
        return {**rest, "how": " ".join(variants)} if variants else rest


@dataclass(frozen=True)
class KindsText:
    """What the bench says of kinds in general and of each."""

    kinds: tuple[Kind, ...]
    selectors: Mapping[str, tuple[str, ...]]  # which machines or servers, by ``Kind.target``
    machine_modifiers: tuple[str, ...]  # what may stand last, of machines
    kind_modifiers: Mapping[str, tuple[str, ...]]  # the same, of one kind
    cut_variants: tuple[str, ...]
    closing_kinds: tuple[str, ...]
    closing_variants: tuple[str, ...]
    figures: Mapping[str, float]  # defaults that hold for all kinds


def without_brackets(text: str) -> str:
    """Without what stands in brackets."""
    while (found := re.sub(r"\s*\([^()]*\)", "", text)) != text:
        text = found
    return text


def listed_words(text: str) -> tuple[str, ...]:
    """The words of `a, b and c`."""
    return tuple(word for word in re.findall(r"[a-z_]+", text) if word not in ("and", "or"))


def variants_of(text: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """The variants that a text names, and those that are added to another."""
    found: list[str] = re.findall(r"\bhow ([a-z_]+):", text)
    added: list[str] = []
    for start in re.finditer(r"\bhow:", text):
        depth, end = 0, len(text)
        for place in range(start.end(), len(text)):
            depth += (text[place] == "(") - (text[place] == ")")
            if depth < 0 or (depth == 0 and text[place] in ";."):
                end = place
                break
        for piece in without_brackets(text[start.end() : end]).split(","):
            words = piece.split()
            into = added if words[:1] == ["+"] else found
            words = [word for word in words if word != "+"]
            if words and all(re.fullmatch(r"[a-z_]+", word) for word in words) and not _EXPLAINS & {*words}:
                into += words
    return tuple(dict.fromkeys(found)), tuple(dict.fromkeys(added))


def remarks(text: str) -> list[tuple[str, str]]:
    """Variants with what is said of each in brackets."""
    said = text.partition("how")[2]
    return [(found[1], found[2]) for found in re.finditer(r"([a-z_]+) \(((?:[^()]|\([^()]*\))*)\)", said)]


def removing_variants(text: str) -> frozenset[str]:
    """The variants after which what a kind strikes does not come back; "" for the kind without any."""
    said = [("", text.partition("how")[0]), *remarks(text)]
    return frozenset(name for name, one in said if _LEAVES.search(one) and not _RETURNS.search(one))


def replacing_variants(text: str) -> frozenset[str]:
    """The variants of which it is said that others come in place of what goes."""
    return frozenset(name for name, said in remarks(text) if _RETURNS.search(said))


def parse_kind(name: str, text: str) -> Kind:
    """The kind of that name, of which the bench says ``text``."""
    names, added = variants_of(text)
    figures: dict[str, float | None] = {}
    for found in _FIGURE.finditer(text):
        if found[2] is not None or found[1] not in figures:
            figures[found[1]] = None if found[2] is None else float(found[2])
    picked = figures.get("share") is not None or figures.get("count") is not None
    machines = re.search(r"\bmachines?\b|\bdisks?\b|\bSIG", text) or name.split("_")[0] in ("node", "core")
    of = "machines" if machines and picked else "servers" if figures.get("share") is not None else ""
    places = tuple(place for place in PLACES if re.search(rf"\b{place}\b", without_brackets(text)))
    return Kind(
        name,
        names,
        added,
        figures,
        "at a time" in text,
        of,
        places,
        removing_variants(text),
        replacing_variants(text),
    )


def parse_kinds_text(text: str) -> KindsText:
    """What the bench printed, read. Raises KindsTextError."""
    general, _, rest = text.partition("\n\n")
    kinds, before, whole = [], "", ""
    for line in rest.splitlines():
        found = re.fullmatch(r"([a-z][a-z0-9_]*): (\S.*)", line.strip())
        if found:
            alike = before.split("_")[:-1] == found[1].split("_")[:-1] and found[2].startswith("the same")
            before, whole = found[1], f"{whole}. {found[2]}" if alike else found[2]
            kinds.append(parse_kind(before, whole))
    if not kinds:
        raise KindsTextError("the bench names no kinds of troubles after an empty line")
    said = " ".join(without_brackets(general).split())

    def named(pattern: str) -> tuple[str, ...]:
        found = re.search(pattern, said)
        return listed_words(found[1]) if found else ()

    after, _, of_one = ", ".join(re.findall(r"After these may stand ([^.]*)", said)).partition(", for ")
    closing = next((line for line in general.splitlines() if line.startswith("closing")), "")
    one, _, its = of_one.partition(", ")
    return KindsText(
        tuple(kinds),
        {
            "machines": named(r"For machines, 'how' may also hold ([^.]*)"),
            "servers": named(r"For servers, 'how' may also hold ([^.]*)"),
        },
        listed_words(after),
        {one: listed_words(its)} if one else {},
        named(r"Cuts [^.]*'how' holds ([^.]*)"),
        tuple(re.findall(r"[a-z_]+", (re.search(r"kind = ([^,}]*)", closing) or ["", ""])[1])),
        variants_of(closing)[0],
        {"count": 1.0}
        | {name: float(value) for name, value in re.findall(r"\b(\w+): [^().]*\((\d*\.?\d+)\)", general)},
    )
