use std::time::Duration;

use skylarkpulley_routing::{AttemptResult, Reason};
use skylarkpulley_types::Clock;

use crate::rig::{Dispatch, Rig};

/// Service time in milliseconds while nothing stalls.
const SERVICE_MS: u64 = 20;
/// Length of one step in milliseconds.
const STEP_MS: u64 = 5;
/// Interval between two reports of an agent in milliseconds.
const REPORT_MS: u64 = 500;

/// Callers that always have the same number of open requests.
struct Load {
    open: usize,
    refused: Vec<Reason>,
    /// Number of results that are processed in one step at most.
    results: usize,
    rig: Rig,
    /// Running attempts and when they end, in milliseconds of working time.
    running: Vec<(u64, Dispatch)>,
    time_ms: u64,
}

impl Load {
    /// Returns callers with `open` requests on 3 upstreams of 4 slots, with a deadline of 20 s.
    fn new(open: usize, results: usize) -> Self {
        let mut rig = Rig::new(3);
        rig.tables.pools[0].slots = 4;
        rig.relax_limits();
        for route in &mut rig.tables.routes {
            route.deadline = Duration::from_secs(20);
        }
        rig.router.apply_tables(&rig.tables, rig.clock.now());
        Self { open, refused: Vec::new(), results, rig, running: Vec::new(), time_ms: 0 }
    }

    fn submit(&mut self) {
        if let Err(reason) = self.rig.submit("check", "a") {
            self.refused.push(reason);
        }
    }

    fn play(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.rig.advance(STEP_MS);
            self.time_ms += STEP_MS;
            if self.time_ms.is_multiple_of(REPORT_MS) {
                self.rig.send_reports();
            }
            let time_ms = self.time_ms;
            let ended = self.running.extract_if(.., |(end, _)| *end <= time_ms);
            for (_, dispatch) in ended.take(self.results) {
                self.rig.finish(&dispatch, AttemptResult::Answered);
            }
            for _ in self.rig.router.open_requests()..self.open {
                self.submit();
            }
            let dispatched = self.rig.poll_dispatches();
            let end = self.time_ms + SERVICE_MS;
            self.running.extend(dispatched.into_iter().map(|dispatch| (end, dispatch)));
        }
    }

    /// Lets time pass in which nothing is processed, as on a machine that is overloaded.
    fn stall(&mut self, millis: u64) {
        self.rig.advance(millis);
    }
}

/// Stalls a load eight times for `stall_ms`, `pause_ms` apart, and asserts that all is admitted.
fn assert_admitted(results: usize, stall_ms: u64, pause_ms: u64) {
    let mut load = Load::new(75, results);
    load.play(2000);
    for _ in 0..8 {
        load.stall(stall_ms);
        load.rig.send_reports();
        load.play(pause_ms);
    }
    let refused = load.refused;
    assert!(refused.is_empty(), "stalls of {stall_ms} ms, {pause_ms} ms apart: {refused:?}");
}

/// Guards against refusals after service times have risen: the slots that the class uses were
/// derived from the earlier, shorter service times, and its wait from the later ones.
#[test]
fn stall_admits_requests() {
    for stall_ms in [250, 500, 750, 1000] {
        for pause_ms in [20, 60, 200] {
            assert_admitted(1, stall_ms, pause_ms);
            assert_admitted(12, stall_ms, pause_ms);
        }
    }
}
