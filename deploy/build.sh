# Installs the entry role and what it imports below target/deps, compiled, since a
# running process cannot write there.
set -eu
deps=target/deps
if [ ! -f "$deps/.installed" ] || [ "$deps/.installed" -ot deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
for package in geraniumshore_scheduler geraniumshored; do
    rm -rf "${deps:?}/$package"
done
cp -r packages/geraniumshore-scheduler/src/geraniumshore_scheduler "$deps/"
cp -r packages/geraniumshored/src/geraniumshored "$deps/"
python3 -m compileall -q "$deps"
