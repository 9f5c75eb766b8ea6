#!/usr/bin/env bash
# A caller that needs only curl: begins a transaction at one host, writes, commits, and reads its
# own write at another host with the session token.
# Usage: caller.sh URL_OF_HOST URL_OF_OTHER_HOST KEY ROUTE
set -euo pipefail
first=$1 other=$2 key=$3 route=$4
headers=$(mktemp)
trap 'rm -f "$headers"' EXIT

call() { # METHOD URL BODY [HEADER...]
  local method=$1 url=$2 body=$3
  shift 3
  curl -sS -D "$headers" -X "$method" -H "Authorization: Bearer $key" \
    -H "Content-Type: application/json" "$@" -d "$body" "$url"
}
field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }

begun=$(call POST "$first/v1/routes/$route/transactions" '')
transaction=$(field transaction <<<"$begun")
echo "begin: $(field class <<<"$begun")"
url=$first/v1/routes/$route/transactions/$transaction
ran=$(call POST "$url/statements" \
  '{"statements":[{"op":"put","table":"shell","key":"k","value":"from curl"}]}')
echo "write: $(field class <<<"$ran") $(field message <<<"$ran")"
committed=$(call POST "$url/commit" '' -H "Request-Id: shell-$$-$RANDOM")
echo "commit: $(field class <<<"$committed")"
token=$(sed -n 's/^[Ss]ession-[Tt]oken: *\([^\r]*\).*/\1/p' "$headers")
read=$(call POST "$other/v1/routes/$route/read" \
  '{"statements":[{"op":"get","table":"shell","key":"k"}]}' -H "Session-Token: $token")
echo "read at another host: $(field value <<<"$read")"
[ "$(field value <<<"$read")" = "from curl" ]
