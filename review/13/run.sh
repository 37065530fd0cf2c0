#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-probe ] || [ ! -x target/papayacroftd ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
	exit 2
fi
exec target/review-probe newcomers review/13/record.txt
