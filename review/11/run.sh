#!/bin/sh
# An instance leaves while the store is down, and its node's process is killed. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0: the store stays up and no process is killed. OUTAGE=0 or KILL=0 leave out one of them.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin3 ] && [ -x target/plantainwheel-attendant ] || exit 2
exec timeout -k 5 115 target/review/standin3 departure review/11/record.txt
