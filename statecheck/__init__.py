"""Explicit-state model checking of any state machine given by its initial states, events and transitions.

`explore` checks safety properties in every reachable state, breadth first; `check_liveness` looks for
obligations that are never fulfilled; `explore_choices` runs a program for every sequence of its choices, if
its state cannot be stored; `trace` saves and replays counterexamples. The package depends on no project code.
"""

from statecheck.liveness import check_liveness
from statecheck.model import Model, Violation
from statecheck.orders import Choices, ChoicesReport, explore_choices
from statecheck.search import Report, explore

__all__ = [
    "Choices",
    "ChoicesReport",
    "Model",
    "Report",
    "Violation",
    "check_liveness",
    "explore",
    "explore_choices",
]
