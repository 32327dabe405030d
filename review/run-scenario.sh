#!/usr/bin/env bash
# run-scenario.sh CLASS FOLDER: plays a scenario. Exits with 1 if a rule was broken, 0 if all held, 2 if it couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
if [ ! -f target/masticwick-site.jar ] || [ ! -f "review/target/$1.class" ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh"
	exit 2
fi
timeout -k 5 118 java -Xmx256m -XX:-UsePerfData -Dsun.net.httpserver.nodelay=true \
	-Dsun.net.httpserver.idleInterval=300 -Dsun.net.httpserver.maxIdleConnections=1000 \
	-cp review/target "$1" "$2"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
