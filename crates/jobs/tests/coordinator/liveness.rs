//! Work that could start, and the rules that make it wait for something that does not come.

use std::time::Duration;

use skylarkpulley_jobs::{AdviceAnswer, Job, Step};

use crate::rig::{Rig, job, step};

/// Guards against a step that asks for no further permits while lasting work holds all workers that
/// it has permits for.
#[test]
fn permitted_workers_held() {
    // More workers than one question names.
    let mut rig = Rig::new(40);
    rig.submit(Job { advised: true, ..job("advised", 1, step(1, 8)) });
    let call = rig.core.next_advice_call(rig.now).expect("a question");
    rig.submit(job("lasting", 1, Step { lasting: true, ..step(1, 8) }));
    let held = rig.starts()[0].0.clone();
    assert!(call.workers.contains(&held));
    let permits = [(held, "permit".to_owned())].into();
    let answer = AdviceAnswer { permits, valid: Duration::from_secs(600) };
    rig.core.handle_advice(rig.now, &call, Some(&answer));
    rig.place_and_commit();
    let further = rig.core.next_advice_call(rig.now).expect("a question about the other workers");
    assert!(further.workers.iter().all(|id| !call.workers.contains(id)));
}
