"""Runs the command-line tool: ``python -m flamingoshelf.cli``."""

import sys

from flamingoshelf.cli import main

if __name__ == "__main__":
    sys.exit(main())
