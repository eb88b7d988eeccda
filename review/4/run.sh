#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case.sh" many-ends-without-store "$(dirname "$0")"
