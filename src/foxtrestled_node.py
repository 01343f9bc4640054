"""Starts a node from the source tree; the platform runs this file."""

import sys

from foxtrestle.node.process import main

if __name__ == "__main__":
    sys.exit(main())
