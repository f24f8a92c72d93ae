#!/usr/bin/env bash
# Plays real worker processes, callers and a store against a build of the program.
# Usage: run.sh PROGRAM SEED [SECONDS] [SITE]; without SITE both sites, one after another.
# TROUBLES: list of srv_crash, garble, answer_lost, silent, node_kill, node_freeze, platform_down and
# stops; without it srv_crash,silent. SHARE: percent of the answers that garble or answer_lost spoils
# (15). UNFRAMED=0: no answer ends with its connection; UNFRAMED=all: all streams do. FAULT: a fault put in by hand, see README.md.
# TROUBLE=0: none of these. STOPS=1: stops as well. FILES=N: most open files of an entry. KEEP=1: keep
# the logs of runs without a case too.
# Exit code: 1 if ORDER, MIXED or TWICE has a case, 0 if none, 2 if a site could not run.
set -euo pipefail
if [ $# -lt 2 ]; then
    sed -n 2,9p "$0" >&2
    exit 2
fi
here=$(cd "$(dirname "$0")" && pwd)
rig=$here/../build/rig
if [ ! -x "$rig" ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
program=$(realpath "$1")
worst=0
for site in ${4:-hanbit-cls mpra-tanagerbay}; do
    folder=$(mktemp -d -t "rig-$site-$2-XXXXXX")
    code=0
    "$rig" "$program" "$2" "${3:-20}" "$site" "$folder" | tee "$folder/table.txt" || code=$?
    if [ "$code" = 0 ] && [ "${KEEP:-0}" = 0 ]; then
        rm -rf "$folder"
    else
        echo "logs: $folder"
    fi
    if [ "$code" -gt 2 ]; then
        code=2
    fi
    if [ "$code" = 1 ] || [ "$worst" = 0 ]; then
        worst=$code
    fi
done
exit "$worst"
