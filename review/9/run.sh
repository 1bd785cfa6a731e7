#!/bin/sh
# review/9/claim.txt says what this shows. TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../standins-2/run-case.sh" 9 open-id
