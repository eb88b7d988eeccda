//! Checks that the committed code matches the protocol file. `UPDATE_GENERATED=1` rewrites it.

use std::fs;
use std::path::Path;

const NAME: &str = "skylarkpulley.v1.rs";

/// Guards against a protocol file that was edited without regenerating the code.
#[test]
fn generated_code_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = tempfile::tempdir().expect("temporary directory");
    let files = protox::compile(["skylarkpulley/v1/control.proto"], [root.join("proto")])
        .expect("the protocol file compiles");
    tonic_prost_build::configure()
        .build_transport(true)
        .out_dir(out.path())
        .compile_fds(files)
        .expect("code generation");
    let fresh = fs::read_to_string(out.path().join(NAME)).expect("generated file");
    let committed = root.join("src/generated").join(NAME);
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&committed, &fresh).expect("write generated file");
    }
    let current = fs::read_to_string(&committed).expect("committed file");
    assert!(current == fresh, "stale: run UPDATE_GENERATED=1 cargo test -p skylarkpulley-proto");
}
