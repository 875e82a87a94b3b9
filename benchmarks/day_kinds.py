"""Days of any mix of troubles, drawn from what the bench says of its kinds of troubles. No I/O.

The bench prints general words, an empty line, then a line for each kind: `kind: what it does`, where `how:`
goes before its variants, and the names of figures before their defaults in brackets. All is read from there
and from the entries that the site files hold, so that new kinds, variants and figures come in by themselves.
"""

from __future__ import annotations

import copy
import random
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from statistics import median
from typing import Any

from benchmarks.draw_deployments import FLOOR
from benchmarks.tolerated_losses import Losses

Site = Mapping[str, Any]
Entry = dict[str, Any]
Day = dict[str, Any]

FIGURES = ("share", "count", "x", "for_s", "gap_s")
PARTS = ("plan", "faults")
PLACES = ("zone", "service", "class")
SEVERAL = (
    (1, 2, 3, 8),
    (65, 15, 12, 8),
)  # entries of a kind, and how often; 8 orders may be under way at once
AT_ONCE = ((1, 2, 3), (45, 35, 20))
GROUPS = (1, 4)  # of entries at once, a day
FIRST_S, LEFT_S = 0.3, 1.5  # no entry before and no later than these, from the traffic's start and to its end
CLOSES = 0.75  # of the days end with a closing fault
_EXPLAINS = {
    "a",
    "all",
    "an",
    "are",
    "for",
    "in",
    "is",
    "it",
    "of",
    "on",
    "the",
    "their",
    "they",
    "to",
    "with",
}
_LEAVES = re.compile(r"\bleave\b|\bgo\b|\bfor good\b")
_RETURNS = re.compile(r"\bcomes?\b|\breplaced\b")
_FIGURE = re.compile(rf"\b({'|'.join(FIGURES)})\b(?: (?:ms|s)\b)?(?: \((\d*\.?\d+)\))?")


class BadKinds(Exception):
    """What the bench printed names no kinds; one line."""


@dataclass(frozen=True)
class Kind:
    name: str
    hows: tuple[str, ...] = ()
    added: tuple[str, ...] = ()  # variants that stand beside another one
    figures: Mapping[str, float | None] = field(
        default_factory=dict
    )  # with their defaults, where these are said
    whole_x: bool = False  # x of them at a time
    of: str = ""  # machines, servers, or neither
    places: tuple[str, ...] = ()  # that it may name, beside those that all of its sort may
    gone: frozenset[str] = frozenset()  # variants that take away for good; "" where the kind itself does
    returns: frozenset[str] = frozenset()  # variants after which others come in place of what went

    def removes(self, entry: Entry) -> bool:
        """Whether what the entry strikes stays away."""
        variants = {*str(entry.get("how", "")).split()}
        if not self.of or variants & self.returns:
            return False
        return "" in self.gone or bool(variants & self.gone)

    def sparing(self, entry: Entry) -> Entry | None:
        """The same without what stays away; none where the kind always takes away for good."""
        if "" in self.gone:
            return None
        variants = [word for word in entry["how"].split() if word not in self.gone]
        rest = {key: value for key, value in entry.items() if key != "how"}
        return {**rest, "how": " ".join(variants)} if variants else rest


@dataclass(frozen=True)
class Words:
    """What the bench says of kinds in general and of each."""

    kinds: tuple[Kind, ...]
    heads: Mapping[str, tuple[str, ...]]  # which machines or servers, by ``Kind.of``
    after: tuple[str, ...]  # what may stand last, of machines
    after_kind: Mapping[str, tuple[str, ...]]  # the same, of one kind
    cuts: tuple[str, ...]
    closing: tuple[str, ...]
    closing_hows: tuple[str, ...]
    figures: Mapping[str, float]  # defaults that hold for all kinds


def plain(text: str) -> str:
    """Without what stands in brackets."""
    while (found := re.sub(r"\s*\([^()]*\)", "", text)) != text:
        text = found
    return text


def listed(text: str) -> tuple[str, ...]:
    """The words of `a, b and c`."""
    return tuple(word for word in re.findall(r"[a-z_]+", text) if word not in ("and", "or"))


def hows(text: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
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
        for piece in plain(text[start.end() : end]).split(","):
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


def gone_for_good(text: str) -> frozenset[str]:
    """The variants after which what a kind strikes does not come back; "" for the kind without any."""
    said = [("", text.partition("how")[0]), *remarks(text)]
    return frozenset(name for name, one in said if _LEAVES.search(one) and not _RETURNS.search(one))


def returning(text: str) -> frozenset[str]:
    """The variants of which it is said that others come in place of what goes."""
    return frozenset(name for name, said in remarks(text) if _RETURNS.search(said))


def kind(name: str, text: str) -> Kind:
    names, added = hows(text)
    figures: dict[str, float | None] = {}
    for found in _FIGURE.finditer(text):
        if found[2] is not None or found[1] not in figures:
            figures[found[1]] = None if found[2] is None else float(found[2])
    picked = figures.get("share") is not None or figures.get("count") is not None
    machines = re.search(r"\bmachines?\b|\bdisks?\b|\bSIG", text) or name.split("_")[0] in ("node", "core")
    of = "machines" if machines and picked else "servers" if figures.get("share") is not None else ""
    places = tuple(place for place in PLACES if re.search(rf"\b{place}\b", plain(text)))
    return Kind(
        name, names, added, figures, "at a time" in text, of, places, gone_for_good(text), returning(text)
    )


def words(text: str) -> Words:
    """Raises BadKinds."""
    general, _, rest = text.partition("\n\n")
    kinds, before, whole = [], "", ""
    for line in rest.splitlines():
        found = re.fullmatch(r"([a-z][a-z0-9_]*): (\S.*)", line.strip())
        if found:
            alike = before.split("_")[:-1] == found[1].split("_")[:-1] and found[2].startswith("the same")
            before, whole = found[1], f"{whole}. {found[2]}" if alike else found[2]
            kinds.append(kind(before, whole))
    if not kinds:
        raise BadKinds("the bench names no kinds of troubles after an empty line")
    said = " ".join(plain(general).split())

    def named(pattern: str) -> tuple[str, ...]:
        found = re.search(pattern, said)
        return listed(found[1]) if found else ()

    after, _, of_one = ", ".join(re.findall(r"After these may stand ([^.]*)", said)).partition(", for ")
    closing = next((line for line in general.splitlines() if line.startswith("closing")), "")
    one, _, its = of_one.partition(", ")
    return Words(
        tuple(kinds),
        {
            "machines": named(r"For machines, 'how' may also hold ([^.]*)"),
            "servers": named(r"For servers, 'how' may also hold ([^.]*)"),
        },
        listed(after),
        {one: listed(its)} if one else {},
        named(r"Cuts [^.]*'how' holds ([^.]*)"),
        tuple(re.findall(r"[a-z_]+", (re.search(r"kind = ([^,}]*)", closing) or ["", ""])[1])),
        hows(closing)[0],
        {"count": 1.0}
        | {name: float(value) for name, value in re.findall(r"\b(\w+): [^().]*\((\d*\.?\d+)\)", general)},
    )


@dataclass(frozen=True)
class Seen:
    """What the site files do with their kinds, as far as a drawn day can tell from it."""

    hows: Mapping[str, tuple[str, ...]]
    figures: Mapping[str, Mapping[str, float]]  # in the middle
    parts: Mapping[str, str]
    closing_hows: tuple[str, ...]


def seen(sites: Iterable[Site]) -> Seen:
    hows_of: dict[str, dict[str, None]] = {}
    figures: dict[str, dict[str, list[float]]] = {}
    parts: dict[str, str] = {}
    closing: dict[str, None] = {}
    for site in sites:
        days = [(part, entry) for day in site["day"] for part in PARTS for entry in day.get(part, ())]
        for part, entry in [*days, *(("", entry) for entry in site.get("troubles", ()))]:
            name = entry["kind"]
            if part:
                parts.setdefault(name, part)
            hows_of.setdefault(name, {}).setdefault(entry.get("how", ""))
            for figure in FIGURES:
                if figure in entry:
                    figures.setdefault(name, {}).setdefault(figure, []).append(float(entry[figure]))
        for day in site["day"]:
            closing.setdefault(day.get("closing", {}).get("how", ""))
    return Seen(
        {name: tuple(found) for name, found in hows_of.items()},
        {name: {key: median(all_) for key, all_ in found.items()} for name, found in figures.items()},
        parts,
        tuple(how for how in closing if how),
    )


def together(said: Sequence[Words]) -> dict[str, Kind]:
    """What all sites' texts say of each kind, since one text may point to a kind that only others list."""
    found: dict[str, Kind] = {}
    for one in said:
        for kind in one.kinds:
            known = found.setdefault(kind.name, kind)
            found[kind.name] = replace(
                known,
                hows=tuple(dict.fromkeys((*known.hows, *kind.hows))),
                added=tuple(dict.fromkeys((*known.added, *kind.added))),
                figures={**kind.figures, **known.figures},
            )
    return found


def figure(name: str, middle: float, whole_x: bool, rng: random.Random) -> float | int:
    """About what is usual, from well below to well above."""
    if name == "share":
        most = min(2.5 * middle, 1.0)
        return most if rng.random() < 0.1 else round(rng.uniform(0.4 * middle, most), 3)
    if name == "count":
        return (
            rng.randint(1, max(round(3 * middle), 1)) if middle <= 5 else round(middle * rng.uniform(0.3, 2))
        )
    if name == "x" and whole_x:
        return float(rng.randint(1, max(round(2 * middle), 3)))
    if name == "x":
        return (
            round(middle * rng.uniform(0.5, 2.5), 4) if middle < 1 else round(middle * rng.uniform(0.7, 2), 2)
        )
    return round(max(middle * rng.uniform(0.2, 2.0), 0.05), 2)


@dataclass(frozen=True)
class Drawer:
    """Draws days for one site."""

    site: Site
    words: Words
    kinds: Mapping[str, Kind]  # of all sites
    seen: Seen

    def how(self, kind: Kind, rng: random.Random) -> str:
        """A variant as one of the sites has it, or any words that fit the kind; empty for none."""
        if rng.random() < 0.2:
            return rng.choice(self.seen.hows.get(kind.name, ("",)))
        number = 2 if kind.of and rng.random() < 0.1 else 1
        own = rng.sample(kind.hows, min(number, len(kind.hows))) if rng.random() < 0.8 else []
        own += [word for word in kind.added if rng.random() < 0.3]
        heads = self.words.heads.get(kind.of, ())
        which = [rng.choice(heads)] if heads and rng.random() < 0.5 else []
        if self.words.cuts and kind.name.endswith("cut") and rng.random() < 0.5:
            own.append(rng.choice(self.words.cuts))
        last = self.words.after if kind.of == "machines" else ()
        last += self.words.after_kind.get(kind.name, ())
        return " ".join(dict.fromkeys([*which, *own, *(word for word in last if rng.random() < 0.25)]))

    def entry(self, kind: Kind, at: float, rng: random.Random) -> Entry:
        found: Entry = {"at": at, "kind": kind.name}
        middles = {**kind.figures, **self.seen.figures.get(kind.name, {})}
        on_core = kind.of == "machines" and "share" in kind.figures and rng.random() < 0.5
        if on_core:
            found["on"] = "core"
            middles["count"] = 1.0
        if "share" in middles and "count" in middles:
            middles.pop("share" if on_core and rng.random() < 0.7 else "count")
        for name, middle in middles.items():
            middle = self.words.figures.get(name) if middle is None else middle
            if middle is not None and rng.random() < 0.85:
                found[name] = figure(name, middle, kind.whole_x, rng)
        how = self.how(kind, rng)
        if how:
            found["how"] = how
        self._place(kind, found, rng)
        return found

    def _place(self, kind: Kind, entry: Entry, rng: random.Random) -> None:
        known = {
            "zone": [zone["name"] for zone in self.site["zones"]],
            "service": [service["name"] for service in self.site["services"]],
            "class": [one["name"] for one in self.site["classes"] if not one.get("inner")],
        }
        usual = {"machines": ("zone",), "servers": ("zone", "service")}.get(kind.of, ())
        for place in dict.fromkeys((*usual, *kind.places)):
            if rng.random() < 0.25:
                entry[place] = rng.choice(known[place])
        if {*entry.get("how", "").split()} & {*kind.added}:
            entry["to_zone"] = rng.choice(known["zone"])

    def entries(self, first: str, rng: random.Random) -> dict[str, list[Entry]]:
        """Some kinds at any moments, at times several of one or up to three at once, ``first`` among them."""
        found: dict[str, list[Entry]] = {part: [] for part in PARTS}
        wanted = [first]
        last = self.site["length_s"] - LEFT_S
        names = [kind.name for kind in self.words.kinds]
        for _ in range(rng.randint(*GROUPS)):
            at = rng.uniform(FIRST_S, last)
            for _ in range(rng.choices(*AT_ONCE)[0]):
                kind = self.kinds[wanted.pop() if wanted else rng.choice(names)]
                gap = rng.choice((0.0, 0.1, 1.0, 3.0))
                for number in range(rng.choices(*SEVERAL)[0]):
                    moment = round(min(at + number * gap, last), 2)
                    found[self.seen.parts.get(kind.name, "faults")].append(self.entry(kind, moment, rng))
        ordered = {part: sorted(made, key=lambda entry: float(entry["at"])) for part, made in found.items()}
        return self.bounded(ordered)

    def bounded(self, drawn: Mapping[str, list[Entry]]) -> dict[str, list[Entry]]:
        """Without what the deployment could not bear for good, in the order of time."""
        losses, kept = Losses.of(self.site), {part: list[Entry]() for part in PARTS}
        timed = [(part, entry) for part in PARTS for entry in drawn[part]]
        for part, entry in sorted(timed, key=lambda one: float(one[1]["at"])):
            kind = self.kinds[entry["kind"]]
            left = losses.allowed(entry, kind.figures, kind.of) if kind.removes(entry) else entry
            left = left or kind.sparing(entry)
            if left is not None:
                kept[part].append(left)
        return kept

    def closing(self, rng: random.Random) -> dict[str, Any]:
        """Empty, or what strikes at the end."""
        if not self.words.closing or rng.random() >= CLOSES:
            return {}
        how = rng.choice(("", *dict.fromkeys((*self.words.closing_hows, *self.seen.closing_hows))))
        down_s = round(rng.uniform(0.3, 3.0), 2)
        return {"kind": rng.choice(self.words.closing), "down_s": down_s, **({"how": how} if how else {})}

    def day(self, name: str, number: int, seed: str) -> Day:
        """The day ``number`` of a seed; kinds take turns to be on one at least."""
        rng = random.Random(seed)
        names = [kind.name for kind in self.words.kinds]
        found = copy.deepcopy(dict(rng.choice(self.site["day"])))
        found.update(self.entries(names[number % len(names)], rng))
        found.pop("closing", None)
        closing = self.closing(rng)
        if closing:
            found["closing"] = closing
        found.update(name=name, seed=rng.getrandbits(28), labels=[])
        found["goal"] = {**found["goal"], "floor": round(FLOOR * found["goal"]["floor"], 3)}
        for key in ("floor_classes", "floor_zones"):
            found[key] = [round(FLOOR * value, 3) for value in found[key]]
        return found


def drawers(sites: Sequence[Site], texts: Sequence[str]) -> list[Drawer]:
    """One for each site, ``texts`` being what the bench prints of its kinds. Raises BadKinds."""
    said = [words(text) for text in texts]
    kinds, used = together(said), seen(sites)
    return [Drawer(site, one, kinds, used) for site, one in zip(sites, said, strict=True)]


def told(day: Day) -> list[str]:
    """Its kinds with their variants, in the order of time, and what closes it."""
    entries = sorted((entry for part in PARTS for entry in day[part]), key=lambda entry: float(entry["at"]))
    found = [" ".join((entry["kind"], *entry.get("how", "").split())) for entry in entries]
    closing = day.get("closing", {})
    return [*found, *([f"closing {closing['kind']} {closing.get('how', '')}".strip()] if closing else [])]
