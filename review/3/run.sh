#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lovagelift ] || [ ! -x target/review-standin ]; then
	echo "run the build of the deploy file and review/build.sh first"
	exit 2
fi
exec target/review-standin --case lost-leave --record review/3/record.txt
