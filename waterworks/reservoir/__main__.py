import sys

from waterworks.headworks.starting import run
from waterworks.reservoir.program import Reservoir

if __name__ == "__main__":
    sys.exit(run(Reservoir))
