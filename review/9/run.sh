#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$0")/case.py"
