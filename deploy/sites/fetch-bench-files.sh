#!/bin/sh
# Copies the bench's dialect files next to the made-up deployments of this folder, so that the bench can play them.
# The copies are not tracked. Usage: deploy/sites/fetch-bench-files.sh KIT_SITES_FOLDER
set -eu
source_folder=${1:?"usage: $0 KIT_SITES_FOLDER"}
target_folder=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    cp "$source_folder/$file" "$target_folder/$file"
    chmod u+w "$target_folder/$file"
done
