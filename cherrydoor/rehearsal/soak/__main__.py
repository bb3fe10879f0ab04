"""``python -m cherrydoor.rehearsal.soak``: runs soaks from the command line."""

import sys

from cherrydoor.rehearsal.soak.command import main

if __name__ == "__main__":
    sys.exit(main())
