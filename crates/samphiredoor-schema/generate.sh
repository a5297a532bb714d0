#!/usr/bin/env bash
# Writes src/generated anew from schemas. Needs `capnp`, `capnpc-rust` 0.27 and `cargo typify` 0.6 or later; the build needs none.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:src/generated --src-prefix=schemas schemas/peer.capnp
for name in settings gateway_settings manifest objects; do
  cargo typify --no-builder --map-type '::std::collections::BTreeMap' "schemas/$name.schema.json" --output "src/generated/$name.rs"
done
