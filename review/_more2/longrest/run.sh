#!/bin/sh
# Plays a finding that is none of the five cases, on loopback addresses. Exit status: 0 the rule held, 1 it was
# broken, 2 it could not run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/guavatrack ] && [ -x target/review-2/script2 ] || exit 2
exec target/review-2/script2 longrest review/_more2/longrest/record.txt
