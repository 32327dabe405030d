#!/usr/bin/env bash
# A client cancels a job whose submission was not answered, because the store is down.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run-case.sh" cancel-unstored review/14
