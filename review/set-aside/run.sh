#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 118 python3 -B case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;  # trial.BROKEN; Python itself ends with 1 if it cannot run the case
*) exit 2 ;;
esac
