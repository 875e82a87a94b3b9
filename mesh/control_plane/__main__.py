import sys

from mesh.runtime.absent_modules import block_imports
from mesh.runtime.hangup import ignore_hangup

ignore_hangup()
block_imports()

from mesh.control_plane.program import Controller  # noqa: E402  (imported after the exclusions above)
from mesh.runtime.startup import run  # noqa: E402

if __name__ == "__main__":
    sys.exit(run(Controller, sys.argv[1:]))
