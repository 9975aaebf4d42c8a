"""Runs the daemon with ``python -m flamingoshelf.daemon``."""

import sys

from flamingoshelf.daemon import main

sys.exit(main())
