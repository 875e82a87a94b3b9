"""Parses the kinds of faults ("troubles"), their variants and figures from the text that the bench prints.
No I/O.

The bench prints general text, an empty line, then a line for each kind: `kind: what it does`. There, `how:`
precedes the variants, and names of figures precede their defaults in parentheses. Everything is parsed from
this text, so that new kinds, variants and figures need no change here.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Entry = dict[str, Any]

FIGURES = ("share", "count", "x", "for_s", "gap_s")
PLACES = ("zone", "service", "class")
_FILLER_WORDS = frozenset(
    ("a", "all", "an", "are", "for", "in", "is", "it", "of", "on", "the", "their", "they", "to", "with")
)
_LEAVING = re.compile(r"\bleave\b|\bgo\b|\bfor good\b")
_RETURNING = re.compile(r"\bcomes?\b|\breplaced\b")
_FIGURE = re.compile(rf"\b({'|'.join(FIGURES)})\b(?: (?:ms|s)\b)?(?: \((\d*\.?\d+)\))?")


class KindsTextError(Exception):
    """The text of the bench names no kinds of faults; the message is one line."""


@dataclass(frozen=True)
class FaultKind:
    """One kind of fault, with everything that an entry of it may contain."""

    name: str
    variants: tuple[str, ...] = ()
    modifiers: tuple[str, ...] = ()  # variants that are added to another one
    figures: Mapping[str, float | None] = field(default_factory=dict)  # with their defaults, if stated
    has_integer_x: bool = False  # x is a number of servers or machines at a time
    target: str = ""  # "machines", "servers" or empty
    places: tuple[str, ...] = ()  # that it may name, besides those that all kinds with this target may
    removing: frozenset[str] = frozenset()  # variants with a permanent loss; "" if the kind itself has one
    replacing: frozenset[str] = frozenset()  # variants after which replacements arrive

    def is_permanent(self, entry: Entry) -> bool:
        """Tells whether the targets of the entry are lost permanently."""
        variants = {*str(entry.get("how", "")).split()}
        if not self.target or variants & self.replacing:
            return False
        return "" in self.removing or bool(variants & self.removing)

    def without_permanent_loss(self, entry: Entry) -> Entry | None:
        """Returns the entry without its permanent variants, or None if the loss is always permanent."""
        if "" in self.removing:
            return None
        variants = [word for word in entry["how"].split() if word not in self.removing]
        rest = {key: value for key, value in entry.items() if key != "how"}
        return {**rest, "how": " ".join(variants)} if variants else rest


@dataclass(frozen=True)
class KindsText:
    """The parsed text of the bench."""

    kinds: tuple[FaultKind, ...]
    selectors: Mapping[str, tuple[str, ...]]  # words that select targets, by ``FaultKind.target``
    machine_modifiers: tuple[str, ...]  # words that may come last, for machines
    kind_modifiers: Mapping[str, tuple[str, ...]]  # the same, for a single kind
    cut_variants: tuple[str, ...]
    closing_kinds: tuple[str, ...]
    closing_variants: tuple[str, ...]
    figures: Mapping[str, float]  # defaults for all kinds


def without_parentheses(text: str) -> str:
    """Removes the parts in parentheses, including nested ones."""
    while (found := re.sub(r"\s*\([^()]*\)", "", text)) != text:
        text = found
    return text


def listed_words(text: str) -> tuple[str, ...]:
    """Returns the words of a list such as `a, b and c`."""
    return tuple(word for word in re.findall(r"[a-z_]+", text) if word not in ("and", "or"))


def variants_of(text: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the variants that a text names, and those that are added to another."""
    found: list[str] = re.findall(r"\bhow ([a-z_]+):", text)
    added: list[str] = []
    for start in re.finditer(r"\bhow:", text):
        depth, end = 0, len(text)
        for place in range(start.end(), len(text)):
            depth += (text[place] == "(") - (text[place] == ")")
            if depth < 0 or (depth == 0 and text[place] in ";."):
                end = place
                break
        for piece in without_parentheses(text[start.end() : end]).split(","):
            words = piece.split()
            destination = added if words[:1] == ["+"] else found
            words = [word for word in words if word != "+"]
            if (
                words
                and all(re.fullmatch(r"[a-z_]+", word) for word in words)
                and not _FILLER_WORDS & {*words}
            ):
                destination += words
    return tuple(dict.fromkeys(found)), tuple(dict.fromkeys(added))


def variant_remarks(text: str) -> list[tuple[str, str]]:
    """Returns the variants with the remark in parentheses after each."""
    variants_text = text.partition("how")[2]
    return [
        (found[1], found[2]) for found in re.finditer(r"([a-z_]+) \(((?:[^()]|\([^()]*\))*)\)", variants_text)
    ]


def removing_variants(text: str) -> frozenset[str]:
    """Returns the variants whose targets do not come back; "" stands for the kind without a variant."""
    remarks = [("", text.partition("how")[0]), *variant_remarks(text)]
    return frozenset(
        name for name, remark in remarks if _LEAVING.search(remark) and not _RETURNING.search(remark)
    )


def replacing_variants(text: str) -> frozenset[str]:
    """Returns the variants with a remark that replacements arrive."""
    return frozenset(name for name, remark in variant_remarks(text) if _RETURNING.search(remark))


def parse_kind(name: str, text: str) -> FaultKind:
    """Parses the description of one kind."""
    names, added = variants_of(text)
    figures: dict[str, float | None] = {}
    for found in _FIGURE.finditer(text):
        if found[2] is not None or found[1] not in figures:
            figures[found[1]] = None if found[2] is None else float(found[2])
    selects_targets = figures.get("share") is not None or figures.get("count") is not None
    machines = re.search(r"\bmachines?\b|\bdisks?\b|\bSIG", text) or name.split("_")[0] in ("node", "core")
    target = (
        "machines" if machines and selects_targets else "servers" if figures.get("share") is not None else ""
    )
    places = tuple(place for place in PLACES if re.search(rf"\b{place}\b", without_parentheses(text)))
    return FaultKind(
        name,
        names,
        added,
        figures,
        "at a time" in text,
        target,
        places,
        removing_variants(text),
        replacing_variants(text),
    )


def parse_kinds_text(text: str) -> KindsText:
    """Parses the text that the bench prints. Raises KindsTextError."""
    general, _, rest = text.partition("\n\n")
    kinds, previous, full_text = [], "", ""
    for line in rest.splitlines():
        found = re.fullmatch(r"([a-z][a-z0-9_]*): (\S.*)", line.strip())
        if found:
            same = previous.split("_")[:-1] == found[1].split("_")[:-1] and found[2].startswith("the same")
            previous, full_text = found[1], f"{full_text}. {found[2]}" if same else found[2]
            kinds.append(parse_kind(previous, full_text))
    if not kinds:
        raise KindsTextError("the bench names no kinds of faults after an empty line")
    general_text = " ".join(without_parentheses(general).split())

    def named(pattern: str) -> tuple[str, ...]:
        found = re.search(pattern, general_text)
        return listed_words(found[1]) if found else ()

    any_kind_words, _, one_kind_text = ", ".join(
        re.findall(r"After these may stand ([^.]*)", general_text)
    ).partition(", for ")
    closing = next((line for line in general.splitlines() if line.startswith("closing")), "")
    one_kind, _, one_kind_words = one_kind_text.partition(", ")
    return KindsText(
        tuple(kinds),
        {
            "machines": named(r"For machines, 'how' may also hold ([^.]*)"),
            "servers": named(r"For servers, 'how' may also hold ([^.]*)"),
        },
        listed_words(any_kind_words),
        {one_kind: listed_words(one_kind_words)} if one_kind else {},
        named(r"Cuts [^.]*'how' holds ([^.]*)"),
        tuple(re.findall(r"[a-z_]+", (re.search(r"kind = ([^,}]*)", closing) or ["", ""])[1])),
        variants_of(closing)[0],
        {"count": 1.0}
        | {name: float(value) for name, value in re.findall(r"\b(\w+): [^().]*\((\d*\.?\d+)\)", general)},
    )
