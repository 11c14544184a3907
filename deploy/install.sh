#!/usr/bin/env bash
# Installs the packages that the build needs (Debian, as root) and builds the programs in target/.
# With --no-packages, only builds.
set -euo pipefail
cd "$(dirname "$0")/.."
export DEBIAN_FRONTEND=noninteractive
if [ "${1:-}" != --no-packages ]; then
  apt-get update -qq
  apt-get install -y -qq cmake pkg-config gcc libglib2.0-dev libsoup-3.0-dev libmicrohttpd-dev \
    libprotobuf-c-dev protobuf-c-compiler libjansson-dev libyajl-dev libcmocka-dev >/dev/null
fi
cmake -S . -B target -DCMAKE_BUILD_TYPE="${BUILD_TYPE:-Release}" >/dev/null
cmake --build target -j"$(nproc)" --target hoprockd hoprock hoprock-emulator | tail -n 1
echo "built: target/hoprockd, target/hoprock, target/hoprock-emulator"
