#!/usr/bin/env bash
# Builds the version that deploy/service.toml names as `production`, from the repository's history,
# for trials of an upgrade. $1: the folder to build in, which is deleted first; the program is in
# $1/target. $2: another commit to build. Fails if the history lacks the commit. Needs the packages
# that deploy/install.sh installs.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:?the folder to build in}"
commit="${2:-$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/service.toml)}"
if ! git cat-file -e "$commit^{commit}"; then
  echo "build-production: the history has no commit '$commit'" >&2
  exit 1
fi
rm -rf "$folder"
mkdir -p "$folder"
git archive "$commit" CMakeLists.txt src deploy | tar -x -C "$folder"
cmake -S "$folder" -B "$folder/target" -DCMAKE_BUILD_TYPE=Release -DHR_TESTS=OFF >"$folder/build.log"
cmake --build "$folder/target" -j4 --target hoprockd >>"$folder/build.log"
echo "built: $folder/target/hoprockd of $commit"
