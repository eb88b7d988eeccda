//! Tests of the metrics page.

use std::time::Duration;

use skylarkpulley_telemetry::Metrics;

/// Guards against metrics that the code records but the page omits or shows with a wrong value.
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
        assert!(text.lines().any(|rendered| rendered == line), "{line} in:\n{text}");
    }
}

/// Guards against an unlimited number of metric names, which would exhaust the memory of a small
/// VM.
#[test]
fn page_bounded() {
    let (metrics, page) = Metrics::with_page("entry");
    for number in 0..1000 {
        metrics.count(&format!("n{number}"));
    }
    assert_eq!(page.render().lines().filter(|line| !line.starts_with('#')).count(), 200);
}

/// Guards against counts by team and route that cannot be told apart, that are lost once there are
/// many, or that take the room of other metrics.
#[test]
fn page_labels_bounded() {
    let (metrics, page) = Metrics::with_page("entry");
    let refuse = |team: &str| {
        metrics.add_labelled("job-refusals", &[("team", team), ("route", "looks")], 2);
    };
    for _ in 0..2 {
        refuse("no:rth");
        (0..1000).for_each(|number| refuse(&format!("t{number}")));
    }
    metrics.count("call-done");
    let text = page.render();
    for line in [
        "skylarkpulley_entry_job_refusals_total{route=\"looks\",team=\"no_rth\"} 4",
        "skylarkpulley_entry_job_refusals_total{route=\"looks\",team=\"t98\"} 4",
        "skylarkpulley_entry_job_refusals_total{route=\"other\",team=\"other\"} 3604",
        "skylarkpulley_entry_call_done_total 1",
    ] {
        assert!(text.lines().any(|rendered| rendered == line), "{line} in:\n{text}");
    }
    assert_eq!(text.lines().filter(|line| line.contains('{')).count(), 101);
}
