#!/usr/bin/env bash
# Runs one case: run-case.sh CASE FOLDER TROUBLE. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With 0 for TROUBLE there is no disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -f target/masticwick-site.jar ] || [ ! -d target/review-3 ]; then
	echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
	exit 2
fi
java -cp target/review-3 review3.Main "$1" "$2" "${3:-1}" &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' TERM INT
wait "$pid"
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
