#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/doorvalved ] && [ -x target/stand2 ] || exit 2
exec target/stand2 revoked review/7/record.txt
