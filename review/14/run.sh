#!/bin/sh
# Plays the case; what was sent, answered and run goes to record.txt in this folder. Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run.
python3 -B "$(dirname "$0")/case.py"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
