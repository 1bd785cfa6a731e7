#!/bin/sh
# review/10/claim.txt says what this shows. TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../standins-2/run-case.sh" 10 give-up
