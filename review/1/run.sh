#!/usr/bin/env bash
# A primary is replaced under open transactions; reads run with values that their client has replaced.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/lost_lead_values
[ -x "$program" ] && [ -x target/release/persimmond ] || exit 2
export REPOSITORY="$PWD" CASE="$PWD/review/1" TROUBLE="${TROUBLE:-1}"
exec "$program"
