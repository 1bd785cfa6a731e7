#!/bin/sh
# TROUBLE=0 leaves out the disruption. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../run-case.sh" cancel-at-upgrade "$here"
