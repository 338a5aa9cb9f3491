#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
here=review/12
program=target/review-3/drill_rolling_restart
[ -x "$program" ] || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
folder=$(mktemp -d) || exit 2
timeout -k 5 110 "$program" "$command" "$folder" "$here/record.txt" \
  "${TROUBLE:-1}"
result=$?
rm -r "$folder"
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
