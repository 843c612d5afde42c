#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/4 to review/8: plain Python with the standard library
# alone, in review/harness_2.py and each case.py, so that all there is to do is to see that they are
# sound for the python3 that runs them. No stand-in of the project is started.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - harness_2.py [4-8]/case.py <<'EOF'
import sys

assert sys.version_info >= (3, 11), "the scripts need Python 3.11, as the project does"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
EOF
