//! Compares the event catalogue in docs/events.md with the code. `UPDATE_CATALOGUE=1`
//! rewrites the page.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use skylarkpulley_telemetry::Event;

fn render_catalogue() -> String {
    let mut text = String::from(
        "# Events\n\nEvery log line of a decision has the fields `code` and `event`. A test checks \
         that this page matches the code.\n\n| Code | Event | Meaning |\n|---|---|---|\n",
    );
    for event in Event::ALL {
        text.push_str(&format!(
            "| {} | `{}` | {} |\n",
            event.code(),
            event.name(),
            event.description()
        ));
    }
    text
}

/// Guards against an event that is added or changed without an update of the catalogue.
#[test]
fn catalogue_equals_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/events.md");
    if std::env::var_os("UPDATE_CATALOGUE").is_some() {
        fs::write(&path, render_catalogue()).expect("write the catalogue");
    }
    let page = fs::read_to_string(&path).expect("read the catalogue");
    assert_eq!(
        page,
        render_catalogue(),
        "docs/events.md differs from the code; run UPDATE_CATALOGUE=1 cargo test -p skylarkpulley-telemetry"
    );
}

/// Guards against two events with the same code or the same name, which logs could not distinguish.
#[test]
fn events_unique() {
    let codes: BTreeSet<u16> = Event::ALL.iter().map(|event| event.code()).collect();
    let names: BTreeSet<&str> = Event::ALL.iter().map(|event| event.name()).collect();
    assert_eq!((codes.len(), names.len()), (Event::ALL.len(), Event::ALL.len()));
}
