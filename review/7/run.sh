#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x bin/cherryhub ] && [ -x bin/review-standins-2 ] || { echo "not built" >&2; exit 2; }
exec bin/review-standins-2 repeat-window "$folder/record.txt"
