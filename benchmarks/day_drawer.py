"""Draws days with random faults, from the kinds of faults that the bench names and their use in site files.

The permanent losses of a day are limited (`benchmarks/tolerated_losses.py`). No I/O.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from statistics import median
from typing import Any

from benchmarks.draw_deployments import FLOOR_FACTOR
from benchmarks.tolerated_losses import LossBudget
from benchmarks.trouble_kinds import FIGURES, Entry, FaultKind, KindsText, parse_kinds_text

Site = Mapping[str, Any]
Day = dict[str, Any]

PARTS = ("plan", "faults")
ENTRY_COUNT_WEIGHTS = (
    (1, 2, 3, 8),
    (65, 15, 12, 8),
)  # numbers of entries of a kind, and their weights; up to 8 configuration writes may be in progress
KIND_COUNT_WEIGHTS = ((1, 2, 3), (45, 35, 20))  # numbers of kinds in a group, and their weights
GROUP_COUNT_BOUNDS = (1, 4)  # groups of entries that begin together, per day
FIRST_ENTRY_S, LAST_ENTRY_S = 0.3, 1.5  # after the start, and before the end, of the traffic
CLOSING_SHARE = 0.75  # share of the days that end with a closing fault


@dataclass(frozen=True)
class SiteUsage:
    """How the site files use the kinds of faults."""

    variants: Mapping[str, tuple[str, ...]]
    figures: Mapping[str, Mapping[str, float]]  # medians
    parts: Mapping[str, str]  # the part of a day, "plan" or "faults", by kind
    closing_variants: tuple[str, ...]


def read_usage(sites: Iterable[Site]) -> SiteUsage:
    """Returns the variants, figures and parts of a day with which each kind is used."""
    variants_of: dict[str, dict[str, None]] = {}
    figures: dict[str, dict[str, list[float]]] = {}
    parts: dict[str, str] = {}
    closing_variants: dict[str, None] = {}
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
            closing_variants.setdefault(day.get("closing", {}).get("how", ""))
    return SiteUsage(
        {name: tuple(found) for name, found in variants_of.items()},
        {name: {key: median(values) for key, values in found.items()} for name, found in figures.items()},
        parts,
        tuple(how for how in closing_variants if how),
    )


def merge_kinds(texts: Sequence[KindsText]) -> dict[str, FaultKind]:
    """Merges the kinds of all sites, since one site's text may refer to a kind that only others list."""
    merged: dict[str, FaultKind] = {}
    for text in texts:
        for kind in text.kinds:
            known = merged.setdefault(kind.name, kind)
            merged[kind.name] = replace(
                known,
                variants=tuple(dict.fromkeys((*known.variants, *kind.variants))),
                modifiers=tuple(dict.fromkeys((*known.modifiers, *kind.modifiers))),
                figures={**kind.figures, **known.figures},
                removing=known.removing | kind.removing,
                replacing=known.replacing | kind.replacing,
            )
    return merged


def draw_figure(name: str, usual_value: float, has_integer_x: bool, rng: random.Random) -> float | int:
    """Draws a figure around the usual value, from well below to well above it."""
    if name == "share":
        max_share = min(2.5 * usual_value, 1.0)
        return max_share if rng.random() < 0.1 else round(rng.uniform(0.4 * usual_value, max_share), 3)
    if name == "count":
        return (
            rng.randint(1, max(round(3 * usual_value), 1))
            if usual_value <= 5
            else round(usual_value * rng.uniform(0.3, 2))
        )
    if name == "x" and has_integer_x:
        return float(rng.randint(1, max(round(2 * usual_value), 3)))
    if name == "x":
        return (
            round(usual_value * rng.uniform(0.5, 2.5), 4)
            if usual_value < 1
            else round(usual_value * rng.uniform(0.7, 2), 2)
        )
    return round(max(usual_value * rng.uniform(0.2, 2.0), 0.05), 2)


@dataclass(frozen=True)
class Drawer:
    """Draws days for one site."""

    site: Site
    text: KindsText
    kinds: Mapping[str, FaultKind]  # of all sites
    usage: SiteUsage

    def draw_variant(self, kind: FaultKind, rng: random.Random) -> str:
        """Draws a variant that a site uses, or random words that fit the kind; "" for no variant."""
        if rng.random() < 0.2:
            return rng.choice(self.usage.variants.get(kind.name, ("",)))
        number = 2 if kind.target and rng.random() < 0.1 else 1
        variants = rng.sample(kind.variants, min(number, len(kind.variants))) if rng.random() < 0.8 else []
        variants += [word for word in kind.modifiers if rng.random() < 0.3]
        selectors = self.text.selectors.get(kind.target, ())
        target_selectors = [rng.choice(selectors)] if selectors and rng.random() < 0.5 else []
        if self.text.cut_variants and kind.name.endswith("cut") and rng.random() < 0.5:
            variants.append(rng.choice(self.text.cut_variants))
        modifiers = self.text.machine_modifiers if kind.target == "machines" else ()
        modifiers += self.text.kind_modifiers.get(kind.name, ())
        return " ".join(
            dict.fromkeys(
                [*target_selectors, *variants, *(word for word in modifiers if rng.random() < 0.25)]
            )
        )

    def draw_entry(self, kind: FaultKind, at: float, rng: random.Random) -> Entry:
        """Draws an entry of a kind that begins ``at`` seconds after the start of the traffic."""
        entry: Entry = {"at": at, "kind": kind.name}
        usual_values = {**kind.figures, **self.usage.figures.get(kind.name, {})}
        on_core = kind.target == "machines" and "share" in kind.figures and rng.random() < 0.5
        if on_core:
            entry["on"] = "core"
            usual_values["count"] = 1.0
        if "share" in usual_values and "count" in usual_values:
            usual_values.pop("share" if on_core and rng.random() < 0.7 else "count")
        for name, usual_value in usual_values.items():
            usual_value = self.text.figures.get(name) if usual_value is None else usual_value
            if usual_value is not None and rng.random() < 0.85:
                entry[name] = draw_figure(name, usual_value, kind.has_integer_x, rng)
        variant = self.draw_variant(kind, rng)
        if variant:
            entry["how"] = variant
        self._add_places(kind, entry, rng)
        return entry

    def _add_places(self, kind: FaultKind, entry: Entry, rng: random.Random) -> None:
        names_by_place = {
            "zone": [zone["name"] for zone in self.site["zones"]],
            "service": [service["name"] for service in self.site["services"]],
            "class": [
                request_class["name"]
                for request_class in self.site["classes"]
                if not request_class.get("inner")
            ],
        }
        usual_places = {"machines": ("zone",), "servers": ("zone", "service")}.get(kind.target, ())
        for place in dict.fromkeys((*usual_places, *kind.places)):
            if rng.random() < 0.25:
                entry[place] = rng.choice(names_by_place[place])
        if {*entry.get("how", "").split()} & {*kind.modifiers}:
            entry["to_zone"] = rng.choice(names_by_place["zone"])

    def draw_entries(self, first: str, rng: random.Random) -> dict[str, list[Entry]]:
        """Draws entries of random kinds, including ``first``, at random times; some begin together."""
        entries: dict[str, list[Entry]] = {part: [] for part in PARTS}
        required_kinds = [first]
        last_start_s = self.site["length_s"] - LAST_ENTRY_S
        names = [kind.name for kind in self.text.kinds]
        for _ in range(rng.randint(*GROUP_COUNT_BOUNDS)):
            at = rng.uniform(FIRST_ENTRY_S, last_start_s)
            for _ in range(rng.choices(*KIND_COUNT_WEIGHTS)[0]):
                kind = self.kinds[required_kinds.pop() if required_kinds else rng.choice(names)]
                gap_s = rng.choice((0.0, 0.1, 1.0, 3.0))
                for number in range(rng.choices(*ENTRY_COUNT_WEIGHTS)[0]):
                    start_s = round(min(at + number * gap_s, last_start_s), 2)
                    entries[self.usage.parts.get(kind.name, "faults")].append(
                        self.draw_entry(kind, start_s, rng)
                    )
        entries_by_time = {
            part: sorted(part_entries, key=lambda entry: float(entry["at"]))
            for part, part_entries in entries.items()
        }
        return self.limit_losses(entries_by_time)

    def limit_losses(self, entries_by_part: Mapping[str, list[Entry]]) -> dict[str, list[Entry]]:
        """Limits the permanent losses of entries, in the order of time, to what the deployment tolerates."""
        budget, kept = LossBudget.for_site(self.site), {part: list[Entry]() for part in PARTS}
        entries = [(part, entry) for part in PARTS for entry in entries_by_part[part]]
        for part, entry in sorted(entries, key=lambda part_and_entry: float(part_and_entry[1]["at"])):
            kind = self.kinds[entry["kind"]]
            limited = budget.limit(entry, kind.figures, kind.target) if kind.is_permanent(entry) else entry
            limited = limited or kind.without_permanent_loss(entry)
            if limited is not None:
                kept[part].append(limited)
        return kept

    def draw_closing(self, rng: random.Random) -> dict[str, Any]:
        """Draws the closing fault; empty for none."""
        if not self.text.closing_kinds or rng.random() >= CLOSING_SHARE:
            return {}
        variant = rng.choice(
            ("", *dict.fromkeys((*self.text.closing_variants, *self.usage.closing_variants)))
        )
        down_s = round(rng.uniform(0.3, 3.0), 2)
        return {
            "kind": rng.choice(self.text.closing_kinds),
            "down_s": down_s,
            **({"how": variant} if variant else {}),
        }

    def draw_day(self, name: str, number: int, seed: str) -> Day:
        """Draws a day; each number in turn uses the next kind, so that every kind occurs."""
        rng = random.Random(seed)
        kind_names = [kind.name for kind in self.text.kinds]
        day = copy.deepcopy(dict(rng.choice(self.site["day"])))
        day.update(self.draw_entries(kind_names[number % len(kind_names)], rng))
        day.pop("closing", None)
        closing = self.draw_closing(rng)
        if closing:
            day["closing"] = closing
        day.update(name=name, seed=rng.getrandbits(28), labels=[])
        day["goal"] = {**day["goal"], "floor": round(FLOOR_FACTOR * day["goal"]["floor"], 3)}
        for key in ("floor_classes", "floor_zones"):
            day[key] = [round(FLOOR_FACTOR * value, 3) for value in day[key]]
        return day


def drawers(sites: Sequence[Site], texts: Sequence[str]) -> list[Drawer]:
    """Returns a drawer for each site; ``texts`` are what the bench prints about their kinds. Raises
    KindsTextError."""
    parsed = [parse_kinds_text(text) for text in texts]
    kinds, usage = merge_kinds(parsed), read_usage(sites)
    return [Drawer(site, kinds_text, kinds, usage) for site, kinds_text in zip(sites, parsed, strict=True)]


def describe(day: Day) -> list[str]:
    """Returns the kinds of a day with their variants, in the order of time, and its closing fault."""
    entries = sorted((entry for part in PARTS for entry in day[part]), key=lambda entry: float(entry["at"]))
    descriptions = [" ".join((entry["kind"], *entry.get("how", "").split())) for entry in entries]
    closing = day.get("closing", {})
    return [
        *descriptions,
        *([f"closing {closing['kind']} {closing.get('how', '')}".strip()] if closing else []),
    ]
