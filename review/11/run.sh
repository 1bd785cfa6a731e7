#!/bin/sh
# review/11/claim.txt says what this shows. TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../standins-3/run-case.sh" 11 slow-feed
