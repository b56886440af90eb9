#!/bin/sh
# Runs case NUMBER: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The gateway is started as deploy/system.toml says, from the repository's
# root; GATEWAY names another build of it.
number="$1"
cd "$(dirname "$0")/.." || exit 2
gateway="${GATEWAY:-target/bin/oakpier-gateway}"
[ -x "$gateway" ] || gateway=build/release/bin/oakpier-gateway
if [ ! -x "$gateway" ]; then
  echo "build the gateway first, with the command in deploy/system.toml" >&2
  exit 2
fi
review/build.sh || exit 2
folder="$(mktemp -d)" || exit 2
timeout -k 5 95 "review/build/case-$number" "$gateway" "$folder" "review/$number/record.txt" "${TROUBLE:-1}"
result=$?
if [ -n "$KEEP" ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
[ "$result" = 0 ] || [ "$result" = 1 ] || result=2
exit "$result"
