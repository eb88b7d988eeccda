#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0 the case is
# played without the disruption.
here="$(dirname "$0")"
exec "$here/../standins/run-case.sh" many-ends-without-store "$here" "${TROUBLE:-1}"
