"""Runs the command as ``python -m carawayctl``."""

from __future__ import annotations

import sys

from carawayctl.cli import main

if __name__ == "__main__":
    sys.exit(main())
