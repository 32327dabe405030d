#!/usr/bin/env bash
# A client cancels a job whose submission was not answered, because the store is down.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the
# disruption.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run-case.sh" cancel-unstored review/14 "${TROUBLE:-1}"
