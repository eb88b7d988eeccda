#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case.sh" checkpoints-of-a-large-job "$(dirname "$0")"
