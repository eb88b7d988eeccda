//! Tests of the settings file.

use std::io::Write;
use std::path::Path;

use skylarkpulley_entry::Settings;

fn load(text: &str) -> Result<Settings, String> {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    Settings::load(file.path()).map_err(|error| error.to_string())
}

fn sample() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/settings/entry.toml");
    std::fs::read_to_string(path).expect("the sample")
}

/// Guards against a sample settings file that the program rejects.
#[test]
fn load_sample() {
    let settings = load(&sample()).expect("the sample is valid");
    assert_eq!(settings.name, "entry-1");
}

/// Guards against an invalid file that is accepted, or rejected without naming the field.
#[test]
fn load_faults() {
    let cases = [
        ("name = \"entry-1\"", "name = \"\"", "name"),
        ("open_limit = 10000", "open_limt = 10000", "open_limt"),
        ("drain_timeout = \"30s\"", "drain_timeout = \"soon\"", "drain_timeout"),
        ("secret = \"change-me-to-a-long-one\"", "secret = \"short\"", "secret"),
    ];
    for (from, to, field) in cases {
        let error = load(&sample().replace(from, to)).expect_err(to);
        assert!(error.contains(field), "{error}");
    }
}
