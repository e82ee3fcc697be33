#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10. They need Python 3.11 and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in review/standins2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import py_compile, sys; py_compile.compile(
        sys.argv[1], cfile=sys.argv[2], doraise=True)' "$file" "$out/x.pyc"
done
