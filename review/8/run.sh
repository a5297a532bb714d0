#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-stand-2
export SAMPHIREDOOR=target/release/samphiredoor
for built in "$program" "$SAMPHIREDOOR"; do
    [ -x "$built" ] || { echo "$built is not built" >&2; exit 2; }
done
# After the time limit all processes of the group are killed.
timeout -s KILL 118 "$program" killed-gateways review/8
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
