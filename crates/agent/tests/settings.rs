//! Tests of the settings file.

use std::io::Write;
use std::path::Path;

use skylarkpulley_agent::Settings;

fn load(text: &str) -> Result<Settings, String> {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("the file is written");
    Settings::load(file.path()).map_err(|error| error.to_string())
}

fn sample() -> String {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/settings/agent-worker.toml");
    std::fs::read_to_string(path).expect("the sample is readable")
}

/// Guards against a sample of the settings of a worker's agent that the program does not accept.
#[test]
fn load_sample() {
    let settings = load(&sample()).expect("the sample is valid");
    assert_eq!(settings.name, "rebuilds-01");
}

/// Guards against a sample of the settings of an upstream's agent that the program does not accept.
#[test]
fn load_upstream_sample() {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/settings/agent-upstream.toml");
    let settings = Settings::load(&path).expect("the sample is valid");
    assert_eq!(settings.pool, "balance");
}

/// Guards against an invalid file that is accepted, or rejected without naming the field.
#[test]
fn load_faults() {
    let replacements = [
        ("name = \"rebuilds-01\"", "name = \"\"", "name"),
        ("rack = \"north-0\"", "rak = \"north-0\"", "rak"),
        ("worker = \"127.0.0.1:7700\"", "", "worker"),
        ("drain_timeout = \"30s\"", "drain_timeout = \"soon\"", "drain_timeout"),
        ("secret = \"change-me-to-a-long-one\"", "secret = \"short\"", "secret"),
    ];
    for (from, to, expected_text) in replacements {
        let error = load(&sample().replace(from, to)).expect_err(to);
        assert!(error.contains(expected_text), "{error}");
    }
}
