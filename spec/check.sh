#!/usr/bin/env bash
# Searches all states of every model for violations, then checks that spin finds a
# violation with each mutation.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# explore MODEL [MUTATION] prints the number of errors that spin found. Without
# MUTATION, it prints "incomplete" if the search did not cover all states.
explore() {
	local dir="$work/$1-${2:-base}"
	mkdir -p "$dir"
	(
		cd "$dir"
		spin ${2:+-D$2} -a "$OLDPWD/$1.pml" >spin.out
		gcc -w -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c
		./pan -m200000 -n >pan.out
		if grep -q -e 'max search depth too small' -e 'Search not completed' -e 'out of memory' pan.out; then
			[ -n "${2:-}" ] || { echo incomplete; exit; }
		fi
		sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out
	)
}

check() {
	local model=$1 states
	shift
	errors=$(explore "$model")
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$model-base/pan.out" | head -1)
	if [ "$errors" = 0 ]; then
		echo "ok   $model: no violation in $states states"
	else
		echo "FAIL $model: errors: $errors"
		tail -20 "$work/$model-base/pan.out"
		failed=1
	fi
	for mutation in "$@"; do
		errors=$(explore "$model" "$mutation")
		if [ "${errors:-0}" = 1 ]; then
			echo "ok   $model with $mutation: refuted"
		else
			echo "FAIL $model with $mutation: not refuted (errors: $errors)"
			failed=1
		fi
	done
}

check config NAIVE_RETRY BLIND_WRITE ANY_VERSION PUSH_ONLY
check leaving ONE_WATCH NO_REPEAT PASS_IN_FLIGHT
check attempts RETRY_UNKNOWN LAST_DECIDES TRUST_FOREIGN
check catalog ANY_REVISION ACCEPT_GAP NO_REMOVALS STALE_RECORD
check limits LIVE_ONLY START_ALONE
check currency HEARTBEAT_PROVES NEVER_ASKS LATE_ASKS
check eras NO_ERA ERA_OF_ANSWER_IGNORED PROOF_KEPT PROOF_BY_NUMBER BASE_BY_NUMBER CHANGES_BY_NUMBER WATCH_GOES_ON
exit $failed
