import sys

from waterworks.headworks.starting import run
from waterworks.sluice.program import Sluice

if __name__ == "__main__":
    sys.exit(run(Sluice))
