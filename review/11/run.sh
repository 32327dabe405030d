#!/usr/bin/env bash
# A failure domain is lost for good while accepted jobs run.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run-case.sh" zone-loss review/11
