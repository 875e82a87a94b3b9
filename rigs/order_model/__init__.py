"""A model of the vote on orders, for `statecheck`."""

from rigs.order_model.model import Orders
from rigs.order_model.sizes import SIZES

__all__ = ["SIZES", "Orders"]
