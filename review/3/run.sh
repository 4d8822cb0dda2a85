#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review/case3
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
: > pids.txt
timeout -k 5 100 "$program" "$PWD"
code=$?
# The driver ends the routers that it started; these are what is left if it was cut off.
while read -r pid; do kill -9 "$pid" 2>/dev/null; done < pids.txt
rm -f pids.txt
[ "$code" -le 1 ] && exit "$code"
exit 2
