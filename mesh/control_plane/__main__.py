import sys

from mesh.control_plane.program import Controller
from mesh.runtime.startup import run

if __name__ == "__main__":
    sys.exit(run(Controller, sys.argv[1:]))
