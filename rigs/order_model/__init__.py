"""Model of the consensus on batches of configuration writes ("orders"), for `statecheck`."""

from rigs.order_model.model import ConsensusModel
from rigs.order_model.scenarios import SCENARIOS

__all__ = ["SCENARIOS", "ConsensusModel"]
