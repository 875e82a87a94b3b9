import sys

from mesh.data_plane.program import Proxy
from mesh.runtime.startup import run

if __name__ == "__main__":
    sys.exit(run(Proxy, sys.argv[1:]))
