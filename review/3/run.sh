#!/bin/sh
# Case 3: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=late-on-kept
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
stand="$root/target/review/stand"
program="$root/target/release/samphiredoor"
if [ ! -x "$stand" ] || [ ! -x "$program" ]; then
    echo "build first: the deploy file's build and review/build.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
cd "$root" || exit 2
"$stand" "$case" "$folder" "$program" "$here/record.txt"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
