#!/usr/bin/env bash
# Installs the packages that the build needs. Does nothing if all are there.
set -eu
cd "$(dirname "$0")/.."
missing=$(xargs -a scripts/packages.txt -n1 sh -c 'dpkg -s "$0" >/dev/null 2>&1 || echo "$0"')
[ -n "$missing" ] || exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
