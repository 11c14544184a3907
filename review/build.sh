#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs in review/.build, with libraries that the project's
# own build needs (GLib, jansson, libmicrohttpd). Ends with 0 when all of them are there.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
read -ra flags < <(pkg-config --cflags --libs glib-2.0 jansson libmicrohttpd)
for case in [1-9]/case.c; do
  name=case${case%%/*}
  if [ ! -x ".build/$name" ] || [ -n "$(find stand "$case" -newer ".build/$name")" ]; then
    gcc -std=gnu11 -O1 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Istand "$case" stand/world.c \
      -o ".build/$name.new" "${flags[@]}" -pthread -lm
    mv ".build/$name.new" ".build/$name"
  fi
done
