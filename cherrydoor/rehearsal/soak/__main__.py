"""``python -m cherrydoor.rehearsal.soak``: soaks by hand."""

import sys

from cherrydoor.rehearsal.soak.run import main

if __name__ == "__main__":
    sys.exit(main())
