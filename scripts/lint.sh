#!/usr/bin/env bash
# Checks formatting and runs clang-tidy; a warning fails the check. Files that passed before with the
# same preprocessed text and settings are skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '_generated.h$')
clang-format --dry-run -Werror "${files[@]}"

export LINT_CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/dragonflysill-lint"
export LINT_SETTINGS
LINT_SETTINGS="$(sha256sum .clang-tidy | cut -c1-16)"
mkdir -p "$LINT_CACHE"

lint_one() {
    local command key
    command=$(jq -r --arg f "$PWD/$1" '.[] | select(.file == $f) | .command' build/compile_commands.json | head -1)
    [ -n "$command" ] || return 0
    command=$(sed -e 's/^.*ccache //' -e 's/ -o [^ ]*//' -e 's/ -c / /' <<<"$command")
    key=$( (cat "$1"; $command -E -P; echo "$LINT_SETTINGS") 2>/dev/null | sha256sum | cut -c1-40)
    [ -f "$LINT_CACHE/$key" ] && return 0
    clang-tidy -p build --quiet "$1" 2>"$LINT_CACHE/log.$$" || { grep -v 'warnings generated' "$LINT_CACHE/log.$$"; echo "lint failed: $1"; return 1; }
    touch "$LINT_CACHE/$key"
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "lint: no findings"
