#!/bin/sh
# The instance answers an upload early and reads on. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the instance answers once it has read the whole body.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin3 ] && [ -x target/plantainwheel-attendant ] || exit 2
exec timeout -k 5 115 target/review/standin3 early review/11/record.txt
