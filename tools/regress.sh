#!/usr/bin/env bash
# Plays the regression runs on the users' deployments, one after the other:
#
#	tools/regress.sh BENCH DIR
#
# BENCH is the users' bench, DIR the folder of their pages with the site files. It
# exits with 1 if a gate fails.
set -euo pipefail
if [ $# -ne 2 ]; then
	sed -n '4p' "$0" | tr -d '#\t' >&2
	exit 2
fi
cd "$(dirname "$0")/.."
sites=(further/flautas-cr further-grown/flautas-cr-grown large/hyllkant-prod-large)
failed=0
for site in "${sites[@]}"; do
	report=$("$1" score "$2/$site.toml" --why "regression run")
	printf '%s\n' "$report"
	grep -q '^GATE passed' <<<"$report" || failed=1
done
exit $failed
