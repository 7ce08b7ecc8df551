#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../common-2/run_case.sh" "$here"
