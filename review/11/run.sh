#!/usr/bin/env bash
# The owner of the workers is killed right after it has accepted the first job that must be kept.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run-case.sh" first-job review/11
