#!/bin/sh
# The record of a departure is stored late, after its node's process was killed. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0: no write is late and no process is killed. OUTAGE=0 or KILL=0 leave out one of them.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin3 ] && [ -x target/plantainwheel-attendant ] || exit 2
exec timeout -k 5 115 target/review/standin3 late-record review/12/record.txt
