"""Explicit-state exploration of any machine that is given as initial states, enabled events and a step.

`explore` visits every reachable state breadth first, `lasting` looks in them for an obligation that is never
met, `run_orders` plays every order of choices of a program that cannot be stored as a state, and `trace`
holds what they find in a form that can be read, saved and stepped again. Nothing here knows of any project's
machines.
"""

from statecheck.liveness import lasting
from statecheck.model import Model, Violation
from statecheck.orders import Choices, OrdersReport, run_orders
from statecheck.search import Report, explore

__all__ = ["Choices", "Model", "OrdersReport", "Report", "Violation", "explore", "lasting", "run_orders"]
