# Python's path for the stand-ins; the fronts have target/deps alone.
sources=$(ls -d packages/*/src | paste -sd:)
export PYTHONPATH="review/common:target/deps:platform/src:$sources"
export PYTHONDONTWRITEBYTECODE=1
