//! Checks that the committed code matches the protocol file. `UPDATE_GENERATED=1` rewrites the
//! code.

use std::fs;
use std::path::Path;

const GENERATED_FILE: &str = "skylarkpulley.v1.rs";

/// Guards against an edit of the protocol file after which the code was not generated again.
#[test]
fn generated_code_up_to_date() {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = tempfile::tempdir().expect("create a temporary directory");
    let descriptors =
        protox::compile(["skylarkpulley/v1/control.proto"], [crate_dir.join("proto")])
            .expect("the protocol file compiles");
    tonic_prost_build::configure()
        .build_transport(true)
        .out_dir(out.path())
        .compile_fds(descriptors)
        .expect("generate the code");
    let generated =
        fs::read_to_string(out.path().join(GENERATED_FILE)).expect("read the generated file");
    let path = crate_dir.join("src/generated").join(GENERATED_FILE);
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&path, &generated).expect("write the generated file");
    }
    let committed = fs::read_to_string(&path).expect("read the committed file");
    assert!(
        committed == generated,
        "the committed code differs from control.proto; run UPDATE_GENERATED=1 cargo test -p skylarkpulley-proto"
    );
}
