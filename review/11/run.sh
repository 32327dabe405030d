#!/usr/bin/env bash
# The owner of the workers is killed right after it has accepted the first job that must be kept.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the
# disruption.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run-case.sh" first-job review/11 "${TROUBLE:-1}"
