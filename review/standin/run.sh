# Runs the program of a case. Sourced by the script `run.sh` of a case; ends all that it started.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd)
review=$(cd "$case_folder/.." && pwd)
program=$review/build/case-$(basename "$case_folder")
if [ ! -x "$program" ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
if [ ! -x "$review/../target/tanagerbay" ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 2
fi
folder=$(mktemp -d)
"$program" "$case_folder/record.txt" "$(cd "$review/.." && pwd)" "$folder"
code=$?
rm -rf "$folder"
case $code in
0 | 1 | 2) exit $code ;;
*) exit 2 ;;
esac
