//! Metrics on a page.

use std::time::Duration;

use skylarkpulley_telemetry::Metrics;

/// Guards against metrics that are counted in code and missing, or wrong, on the page.
#[test]
fn page_all_kinds() {
    let (metrics, page) = Metrics::with_page("entry");
    metrics.count("call-done");
    metrics.add("call-done", 2);
    metrics.gauge("jobs-open", 7);
    metrics.gauge("jobs-open", 4);
    metrics.time("store.write", Duration::from_millis(20));
    let text = page.render();
    for line in [
        "skylarkpulley_entry_call_done_total 3",
        "skylarkpulley_entry_jobs_open 4",
        "skylarkpulley_entry_store_write_seconds_bucket{le=\"0.01\"} 0",
        "skylarkpulley_entry_store_write_seconds_bucket{le=\"0.025\"} 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in:\n{text}");
    }
}

/// Guards against names that are made up without end filling the memory of a small VM.
#[test]
fn page_bounded() {
    let (metrics, page) = Metrics::with_page("entry");
    for number in 0..1000 {
        metrics.count(&format!("n{number}"));
    }
    assert_eq!(page.render().lines().filter(|line| !line.starts_with('#')).count(), 200);
}
