use skylarkpulley_jobs::{EndKind, RunReport, Step, WorkerReport};

use crate::rig::{Rig, ended, job, report, step, worker};

/// Guards against urgent work on a worker that has been slow although a faster one is free, and
/// against bulk work that avoids it.
#[test]
fn place_urgent_on_fast() {
    let mut rig = Rig::new(2);
    for round in 0_u64..12 {
        rig.submit(job(&format!("j{round:02}"), 1, step(2, 8)));
        let starts = rig.starts();
        assert_eq!(starts.len(), 2);
        for tenth in 0..10 {
            for (id, task, run) in &starts {
                // Worker 0 needs twice the time of worker 1 for the same work.
                let percent = if id == "w0" { tenth * 5 } else { tenth * 10 };
                let number = id[1..].parse().expect("a number");
                let checkpoint = String::new();
                let running =
                    vec![RunReport { checkpoint, percent, run: *run, task: task.clone() }];
                let listed = WorkerReport { running, ..report(&worker(number, 1), &[]) };
                rig.core.report(rig.now, &listed);
            }
            rig.advance(200);
        }
        for (id, task, run) in &starts {
            let number = id[1..].parse().expect("a number");
            let status = worker(number, 1);
            rig.core.report(rig.now, &ended(&status, round + 1, task, *run, EndKind::Done));
        }
        rig.place_and_commit();
    }
    rig.submit(job("urgent", 0, Step { gang: true, ..step(1, 8) }));
    let urgent: Vec<String> = rig.starts().into_iter().map(|(id, _, _)| id).collect();
    assert_eq!(urgent, ["w1"]);
    rig.submit(job("bulk", 2, step(1, 4)));
    assert!(rig.starts().iter().any(|(id, task, _)| id == "w0" && task.job == "bulk"));
}
