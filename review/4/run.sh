#!/usr/bin/env bash
# A daemon is stopped; a statement that it has accepted and passed on is never answered.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/stop_in_transaction
[ -x "$program" ] && [ -x target/release/persimmond ] || exit 2
export REPOSITORY="$PWD" CASE="$PWD/review/4" TROUBLE="${TROUBLE:-1}"
exec "$program"
