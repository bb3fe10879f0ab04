"""``python -m cherrydoor.rehearsal.soak``: soaks by hand."""

import sys

from cherrydoor.rehearsal.soak.command import main

if __name__ == "__main__":
    sys.exit(main())
