#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8: they are Python, so this only checks
# that they compile with the machine's python3 (3.11 or later, standard library
# only). The daemon itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in parts-2/*.py [4-8]/*.py left-out-2/*/*.py; do
  PYTHONPYCACHEPREFIX="$out" python3 -m py_compile "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "python3 is older than 3.11" >&2; exit 1; }
echo "stand-ins: ready"
