#!/usr/bin/env bash
# Runs clang-tidy on one source file. A clean result is kept under the hash of
# all that decides it: the preprocessed source with its comments, the compiler
# command, the checks and the version of the tool. A file is checked again as
# soon as one of them differs; findings are never kept.
# usage: tidy.sh BUILD FILE
set -euo pipefail
build=$1 file=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/guavasail-tidy
command=$(awk -v file="\"$PWD/$file\"" '
  /^ *"command":/ { command = $0 }
  /^ *"file":/ && index($0, file) { print command; exit }' \
  "$build/compile_commands.json" | sed 's/^ *"command": "//; s/",$//; s/\\"/"/g')
[ -n "$command" ] || exec clang-tidy --quiet -p "$build" "$file" 2>/dev/null
preprocess="${command%% -o *} -E -C $file"
hash=$({
  clang-tidy --version
  cat .clang-tidy
  echo "$command"
  eval "$preprocess"
} | sha256sum | cut -d' ' -f1)
[ ! -f "$cache/$hash" ] || exit 0
findings=$(clang-tidy --quiet -p "$build" "$file" 2>/dev/null) || {
  echo "$findings"
  exit 1
}
if [ -n "$findings" ]; then
  echo "$findings"
  exit 0
fi
mkdir -p "$cache"
touch "$cache/$hash"
