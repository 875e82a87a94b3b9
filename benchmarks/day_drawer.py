"""Days of any mix of troubles, drawn from the kinds that the bench names and what site files do with them.

What a day takes away for good is bounded (`benchmarks/tolerated_losses.py`). No I/O.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from statistics import median
from typing import Any

from benchmarks.draw_deployments import FLOOR
from benchmarks.tolerated_losses import LossBudget
from benchmarks.trouble_kinds import FIGURES, Entry, FaultKind, KindsText, parse_kinds_text

Site = Mapping[str, Any]
Day = dict[str, Any]

PARTS = ("plan", "faults")
SEVERAL = (
    (1, 2, 3, 8),
    (65, 15, 12, 8),
)  # entries of a kind, and how often; 8 orders may be under way at once
AT_ONCE = ((1, 2, 3), (45, 35, 20))  # kinds that begin together, and how often
GROUPS = (1, 4)  # of entries at once, a day
FIRST_S, LEFT_S = 0.3, 1.5  # no entry before and no later than these, from the traffic's start and to its end
CLOSES = 0.75  # of the days end with a closing fault


@dataclass(frozen=True)
class SiteUsage:
    """What the site files do with their kinds, as far as a drawn day can tell from it."""

    variants: Mapping[str, tuple[str, ...]]
    figures: Mapping[str, Mapping[str, float]]  # in the middle
    parts: Mapping[str, str]
    closing_variants: tuple[str, ...]


def usage_of(sites: Iterable[Site]) -> SiteUsage:
    """With which variants, figures and parts of a day each kind is used."""
    variants_of: dict[str, dict[str, None]] = {}
    figures: dict[str, dict[str, list[float]]] = {}
    parts: dict[str, str] = {}
    closing: dict[str, None] = {}
    for site in sites:
        days = [(part, entry) for day in site["day"] for part in PARTS for entry in day.get(part, ())]
        for part, entry in [*days, *(("", entry) for entry in site.get("troubles", ()))]:
            name = entry["kind"]
            if part:
                parts.setdefault(name, part)
            variants_of.setdefault(name, {}).setdefault(entry.get("how", ""))
            for figure in FIGURES:
                if figure in entry:
                    figures.setdefault(name, {}).setdefault(figure, []).append(float(entry[figure]))
        for day in site["day"]:
            closing.setdefault(day.get("closing", {}).get("how", ""))
    return SiteUsage(
        {name: tuple(found) for name, found in variants_of.items()},
        {name: {key: median(all_) for key, all_ in found.items()} for name, found in figures.items()},
        parts,
        tuple(how for how in closing if how),
    )


def merged_kinds(said: Sequence[KindsText]) -> dict[str, FaultKind]:
    """What all sites' texts say of each kind, since one text may point to a kind that only others list."""
    found: dict[str, FaultKind] = {}
    for one in said:
        for kind in one.kinds:
            known = found.setdefault(kind.name, kind)
            found[kind.name] = replace(
                known,
                variants=tuple(dict.fromkeys((*known.variants, *kind.variants))),
                modifiers=tuple(dict.fromkeys((*known.modifiers, *kind.modifiers))),
                figures={**kind.figures, **known.figures},
                removing=known.removing | kind.removing,
                replacing=known.replacing | kind.replacing,
            )
    return found


def drawn_figure(name: str, middle: float, whole_x: bool, rng: random.Random) -> float | int:
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
    text: KindsText
    kinds: Mapping[str, FaultKind]  # of all sites
    usage: SiteUsage

    def variant(self, kind: FaultKind, rng: random.Random) -> str:
        """A variant as one of the sites has it, or any words that fit the kind; empty for none."""
        if rng.random() < 0.2:
            return rng.choice(self.usage.variants.get(kind.name, ("",)))
        number = 2 if kind.target and rng.random() < 0.1 else 1
        own = rng.sample(kind.variants, min(number, len(kind.variants))) if rng.random() < 0.8 else []
        own += [word for word in kind.modifiers if rng.random() < 0.3]
        selectors = self.text.selectors.get(kind.target, ())
        which = [rng.choice(selectors)] if selectors and rng.random() < 0.5 else []
        if self.text.cut_variants and kind.name.endswith("cut") and rng.random() < 0.5:
            own.append(rng.choice(self.text.cut_variants))
        last = self.text.machine_modifiers if kind.target == "machines" else ()
        last += self.text.kind_modifiers.get(kind.name, ())
        return " ".join(dict.fromkeys([*which, *own, *(word for word in last if rng.random() < 0.25)]))

    def entry(self, kind: FaultKind, at: float, rng: random.Random) -> Entry:
        """One entry of a kind that begins ``at`` seconds after the traffic."""
        found: Entry = {"at": at, "kind": kind.name}
        middles = {**kind.figures, **self.usage.figures.get(kind.name, {})}
        on_core = kind.target == "machines" and "share" in kind.figures and rng.random() < 0.5
        if on_core:
            found["on"] = "core"
            middles["count"] = 1.0
        if "share" in middles and "count" in middles:
            middles.pop("share" if on_core and rng.random() < 0.7 else "count")
        for name, middle in middles.items():
            middle = self.text.figures.get(name) if middle is None else middle
            if middle is not None and rng.random() < 0.85:
                found[name] = drawn_figure(name, middle, kind.has_integer_x, rng)
        how = self.variant(kind, rng)
        if how:
            found["how"] = how
        self._place(kind, found, rng)
        return found

    def _place(self, kind: FaultKind, entry: Entry, rng: random.Random) -> None:
        known = {
            "zone": [zone["name"] for zone in self.site["zones"]],
            "service": [service["name"] for service in self.site["services"]],
            "class": [one["name"] for one in self.site["classes"] if not one.get("inner")],
        }
        usual = {"machines": ("zone",), "servers": ("zone", "service")}.get(kind.target, ())
        for place in dict.fromkeys((*usual, *kind.places)):
            if rng.random() < 0.25:
                entry[place] = rng.choice(known[place])
        if {*entry.get("how", "").split()} & {*kind.modifiers}:
            entry["to_zone"] = rng.choice(known["zone"])

    def entries(self, first: str, rng: random.Random) -> dict[str, list[Entry]]:
        """Some kinds at any moments, at times several of one or up to three at once, ``first`` among them."""
        found: dict[str, list[Entry]] = {part: [] for part in PARTS}
        wanted = [first]
        last = self.site["length_s"] - LEFT_S
        names = [kind.name for kind in self.text.kinds]
        for _ in range(rng.randint(*GROUPS)):
            at = rng.uniform(FIRST_S, last)
            for _ in range(rng.choices(*AT_ONCE)[0]):
                kind = self.kinds[wanted.pop() if wanted else rng.choice(names)]
                gap = rng.choice((0.0, 0.1, 1.0, 3.0))
                for number in range(rng.choices(*SEVERAL)[0]):
                    moment = round(min(at + number * gap, last), 2)
                    found[self.usage.parts.get(kind.name, "faults")].append(self.entry(kind, moment, rng))
        ordered = {part: sorted(made, key=lambda entry: float(entry["at"])) for part, made in found.items()}
        return self.bounded(ordered)

    def bounded(self, drawn: Mapping[str, list[Entry]]) -> dict[str, list[Entry]]:
        """Without what the deployment could not bear for good, in the order of time."""
        budget, kept = LossBudget.for_site(self.site), {part: list[Entry]() for part in PARTS}
        timed = [(part, entry) for part in PARTS for entry in drawn[part]]
        for part, entry in sorted(timed, key=lambda one: float(one[1]["at"])):
            kind = self.kinds[entry["kind"]]
            left = budget.limit(entry, kind.figures, kind.target) if kind.is_permanent(entry) else entry
            left = left or kind.without_permanent_loss(entry)
            if left is not None:
                kept[part].append(left)
        return kept

    def closing(self, rng: random.Random) -> dict[str, Any]:
        """Empty, or what strikes at the end."""
        if not self.text.closing_kinds or rng.random() >= CLOSES:
            return {}
        how = rng.choice(("", *dict.fromkeys((*self.text.closing_variants, *self.usage.closing_variants))))
        down_s = round(rng.uniform(0.3, 3.0), 2)
        return {
            "kind": rng.choice(self.text.closing_kinds),
            "down_s": down_s,
            **({"how": how} if how else {}),
        }

    def day(self, name: str, number: int, seed: str) -> Day:
        """The day ``number`` of a seed; kinds take turns to be on one at least."""
        rng = random.Random(seed)
        names = [kind.name for kind in self.text.kinds]
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
    said = [parse_kinds_text(text) for text in texts]
    kinds, used = merged_kinds(said), usage_of(sites)
    return [Drawer(site, one, kinds, used) for site, one in zip(sites, said, strict=True)]


def describe(day: Day) -> list[str]:
    """Its kinds with their variants, in the order of time, and what closes it."""
    entries = sorted((entry for part in PARTS for entry in day[part]), key=lambda entry: float(entry["at"]))
    found = [" ".join((entry["kind"], *entry.get("how", "").split())) for entry in entries]
    closing = day.get("closing", {})
    return [*found, *([f"closing {closing['kind']} {closing.get('how', '')}".strip()] if closing else [])]
