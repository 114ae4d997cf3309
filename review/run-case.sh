# Runs one case with the stand-ins; sourced by the scripts of the cases, which set `scene`, `here` and `trouble`.
# KEEP=1 keeps the daemons' logs and tells where they are.
root="$(cd "$here/../.." && pwd)"
standin="$root/target/review/standin"
if [ ! -x "$standin" ] || [ ! -x "$root/target/release/wardtiller-fleet" ]; then
    echo "build the deploy file's program and run review/build.sh first"
    exit 2
fi
folder="$(mktemp -d)"
status=0
timeout -k 2 115 "$standin" "$scene" "$root" "$folder" "$here/record.txt" "$trouble" || status=$?
if [ "${KEEP:-0}" = 1 ]; then
    echo "logs: $folder"
else
    rm -rf "$folder"
fi
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
