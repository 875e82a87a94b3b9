import sys

from mesh.runtime.absent_modules import block_imports
from mesh.runtime.hangup import ignore_hangup

ignore_hangup()
block_imports()

from mesh.data_plane.program import Proxy  # noqa: E402  (after what it must not load)
from mesh.runtime.startup import run  # noqa: E402

if __name__ == "__main__":
    sys.exit(run(Proxy, sys.argv[1:]))
