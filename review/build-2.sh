#!/bin/sh
# Prepares what the scripts of the cases 6 to 9 start. Run it after the build of the deploy file; it needs no network.
# The stand-ins are Python programs of this folder that use the standard library alone, so they are only checked here.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/embershore ] || { echo "target/release/embershore is missing: run the build of deploy/balancer.toml first"; exit 2; }
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
for file in review/rig-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "python3 is older than 3.8"; exit 2; }
