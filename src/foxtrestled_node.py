"""Entry point of a node in the source tree; the platform runs this file."""

import sys

from foxtrestle.node.process import main

if __name__ == "__main__":
    sys.exit(main())
