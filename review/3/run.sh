#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the kill out.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review/departure ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/departure "$here/record.txt"
