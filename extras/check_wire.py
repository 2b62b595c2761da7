"""Check that names of the users' platform occur in its adapter alone.

Prints each line outside ``peridotdock/platform`` that names a header, call or field of the users'
platform, and exits with 1 if there is any.
"""

import re
import sys
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "peridotdock"
ADAPTER = PACKAGE / "platform"
PLATFORM_NAMES = re.compile(
    r"x-attempt|x-target|x-not-exec|x-prompt-pref|x-token-count|x-response-sig|x-model|rows-(tx|get|feed)"
    r"|kv-(move|events|list|from|fetch)|fencing_token|at_hand\"|zone\"|x-tenant|api_keys"
    r"|server-(limit|leaving|brittle)|store-era|\"servers\"|blob-(put|get)",
    re.IGNORECASE,
)


def main() -> int:
    """Print all matching lines and return the exit status."""
    found = 0
    for path in sorted(PACKAGE.rglob("*.py")):
        if ADAPTER in path.parents:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                print(f"{path.relative_to(PACKAGE.parent)}:{number}: {line.strip()}")
                found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
