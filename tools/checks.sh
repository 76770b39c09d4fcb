#!/usr/bin/env bash
# Checks the layout rules that no linter covers.
set -euo pipefail
cd "$(dirname "$0")/.."
fail=0
generated=(':!*.pb.go' ':!*.connect.go')

bare=$(git grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' -- '*.go' "${generated[@]}" ':!internal/core/group/*' ':!*_test.go' || true)
if [ -n "$bare" ]; then
	printf 'goroutines outside internal/core/group:\n%s\n' "$bare"
	fail=1
fi

lines() { git ls-files -z -- "$@" | xargs -0 -r cat | wc -l; }
tests=$(lines '*_test.go' '*/testdata/*.txtar')
all=$(lines '*.go' '*/testdata/*.txtar' "${generated[@]}")
if [ $((tests * 3)) -ge "$all" ]; then
	echo "tests are $tests of $all lines, a third or more"
	fail=1
fi

big=$(git ls-files -z -- '*.go' "${generated[@]}" | xargs -0 wc -l | awk '$2 != "total" && $1 > 500')
if [ -n "$big" ]; then
	printf 'files over 500 lines:\n%s\n' "$big"
	fail=1
fi
exit $fail
