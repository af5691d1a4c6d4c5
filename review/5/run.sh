#!/usr/bin/env bash
# The store is silent to a daemon for a while; afterwards an instance that leaves gets work.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/leaving_instance
[ -x "$program" ] && [ -x target/release/persimmond ] || exit 2
export REPOSITORY="$PWD" CASE="$PWD/review/5" TROUBLE="${TROUBLE:-1}"
exec "$program"
