//! Rules of a single ledger.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_ledger::{
    Action, CHECKPOINT_GRACE, Commit, End, FENCE_RETENTION, GANG_LEASE, HOLD_TIMEOUT, Hold,
    HoldReply, Ledger, Member, MemberState, Rank, Refusal, Renew, Report, Reservation, Stop,
    WorkerEvent,
};
use skylarkpulley_types::AgentId;

const MS: Duration = Duration::from_millis(1);

struct Bench {
    ledger: Ledger,
    now: Instant,
}

fn me() -> Member {
    Member::new(AgentId::new("w0", 1), "10.0.1.0:7")
}

fn other() -> Member {
    Member::new(AgentId::new("w1", 1), "10.0.1.1:7")
}

fn borrowed(gang: &str, class: u32, accelerators: u32) -> Hold {
    let (gang, rank) = (gang.to_owned(), Rank::new(class, 0));
    Hold { gang, epoch: 1, accelerators, rank, preemptible: true, ..Hold::default() }
}

fn claim(gang: &str, instance: &str, accelerators: u32, evict: &[&str]) -> Hold {
    Hold {
        instance: Some(instance.to_owned()),
        evict: evict.iter().map(|gang| (*gang).to_owned()).collect(),
        preemptible: false,
        ..borrowed(gang, 5, accelerators)
    }
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now() + Duration::from_secs(100);
        Self { ledger: Ledger::new(me().agent, 8, now).with_idle_worker(now), now }
    }

    fn with_reservation(mut self, instance: &str, accelerators: u32) -> Self {
        let reserve = vec![Reservation::new(instance, 1, accelerators)];
        assert_eq!(self.hold(&Hold { reserve, ..Hold::default() }), HoldReply::Held);
        self
    }

    fn hold(&mut self, hold: &Hold) -> HoldReply {
        self.ledger.hold(hold, self.now).0
    }

    /// Holds and commits a gang led by `lead`.
    fn commit(&mut self, hold: &Hold, lead: Member) -> Vec<Action> {
        assert_eq!(self.hold(hold), HoldReply::Held);
        let (result, actions) = self.try_commit(&hold.gang, hold.epoch, lead);
        assert_eq!(result, Ok(()));
        actions
    }

    fn try_commit(
        &mut self,
        gang: &str,
        epoch: u64,
        lead: Member,
    ) -> (Result<(), Refusal>, Vec<Action>) {
        let members = if lead == me() { vec![lead] } else { vec![lead, me()] };
        let commit = Commit { gang: gang.to_owned(), epoch, members, task: Arc::new([]) };
        self.ledger.commit(&commit, self.now)
    }

    fn renew(&mut self, gang: &str, stamp: u64) -> (MemberState, Vec<Action>) {
        let gang = gang.to_owned();
        let renew = Renew { gang, epoch: 1, lease: GANG_LEASE, stamp, sequence: stamp };
        let (reply, actions) = self.ledger.renew(&renew, self.now);
        (reply.state, actions)
    }

    /// Starts a task whose lead is another agent.
    fn start_remote(&mut self, hold: &Hold) {
        self.commit(hold, other());
        let (state, actions) = self.renew(&hold.gang, 1);
        assert_eq!(state, MemberState::Running);
        assert!(matches!(actions[..], [Action::Start { .. }]));
    }

    fn stop(&mut self, gang: &str, epoch: u64) -> (bool, Vec<Action>) {
        let (grace, reason) = (Duration::ZERO, "test".to_owned());
        let stop = Stop { gang: gang.to_owned(), epoch, checkpoint: false, grace, reason };
        self.ledger.stop(&stop, self.now)
    }

    fn tick(&mut self, after: Duration) -> Vec<Action> {
        self.now += after;
        self.ledger.tick(self.now)
    }

    fn report(&self) -> Report {
        self.ledger.report(self.now)
    }

    fn gangs(&self) -> Vec<String> {
        self.report().grants.into_iter().map(|grant| grant.gang).collect()
    }
}

fn kills(actions: &[Action], name: &str) -> bool {
    actions.iter().any(|action| matches!(action, Action::Kill { gang, .. } if gang == name))
}

/// Guards against holds that outlive their second, and against losing one that is asked for again.
#[test]
fn hold_expires() {
    let mut bench = Bench::new();
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    bench.tick(HOLD_TIMEOUT - MS);
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    bench.tick(HOLD_TIMEOUT - MS);
    assert_eq!(bench.gangs(), ["a"]);
    bench.tick(MS);
    assert_eq!(bench.gangs(), [""; 0]);
    let refusal = Refusal::NotHeld { gang: "a".to_owned(), epoch: 1 };
    assert_eq!(bench.try_commit("a", 1, me()).0, Err(refusal));
}

/// Guards against a commit that does not run although nobody has to be waited for.
#[test]
fn single_task_starts_at_once() {
    let mut bench = Bench::new();
    let actions = bench.commit(&borrowed("a", 1, 8), me());
    assert!(matches!(&actions[..], [Action::Start { gang, .. }] if gang == "a"));
    let report = bench.report();
    assert!(report.grants[0].running);
    assert_eq!(report.grants[0].lead, Some(me().agent));
}

/// Guards against a lower hold that blocks a higher one, and a higher one that gives way (L5).
#[test]
fn hold_wounds_lower_rank() {
    let mut bench = Bench::new();
    assert_eq!(bench.hold(&borrowed("low", 7, 8)), HoldReply::Held);
    assert_eq!(bench.hold(&borrowed("high", 2, 8)), HoldReply::Held);
    assert_eq!(bench.gangs(), ["high"]);
    let refusal = Refusal::InsufficientAccelerators { requested: 8, free: 0 };
    assert_eq!(bench.hold(&borrowed("low", 7, 8)), HoldReply::Refused(refusal));
    let refusal = Refusal::NotHeld { gang: "low".to_owned(), epoch: 1 };
    assert_eq!(bench.try_commit("low", 1, me()).0, Err(refusal));
}

/// Guards against a higher hold that loses its place to a lower one while it waits for a commit
/// that falls through.
#[test]
fn hold_waits_for_unstarted_commit() {
    let mut bench = Bench::new();
    bench.commit(&borrowed("low", 7, 8), other());
    assert_eq!(bench.hold(&borrowed("high", 2, 6)), HoldReply::Pending);
    for _ in 0..4 {
        bench.tick(500 * MS);
        assert!(matches!(bench.hold(&borrowed("mid", 5, 4)), HoldReply::Refused(_)));
        bench.hold(&borrowed("high", 2, 6));
    }
    assert_eq!(bench.gangs(), ["high"]);
}

/// Guards against a small pending hold that takes what a larger one ahead of it waits for.
#[test]
fn pending_holds_keep_their_order() {
    let mut bench = Bench::new().with_reservation("i", 4);
    bench.start_remote(&borrowed("big", 1, 5));
    bench.commit(&borrowed("small", 1, 3), me());
    assert_eq!(bench.hold(&claim("claim", "i", 4, &["big"])), HoldReply::Pending);
    assert!(matches!(bench.hold(&borrowed("late", 0, 2)), HoldReply::Refused(_)));
    assert_eq!(bench.hold(&borrowed("next", 0, 1)), HoldReply::Pending);
    bench.ledger.handle_worker_event("small", 1, WorkerEvent::Finished, bench.now);
    assert_eq!(bench.gangs(), ["big"]);
    bench.ledger.handle_worker_event("big", 1, WorkerEvent::Finished, bench.now);
    assert_eq!(bench.gangs(), ["claim", "next"]);
}

/// Guards against two gangs that claim one instance, and a reservation that is not restored (L4).
#[test]
fn claim_converts_reservation() {
    let mut bench = Bench::new().with_reservation("i", 8);
    assert_eq!(bench.hold(&claim("a", "i", 8, &[])), HoldReply::Held);
    assert!(bench.report().reservations.is_empty());
    let refusal = Refusal::Claimed { instance: "i".to_owned(), gang: "a".to_owned() };
    assert_eq!(bench.hold(&claim("b", "i", 8, &[])), HoldReply::Refused(refusal));
    bench.tick(HOLD_TIMEOUT);
    assert_eq!(bench.report().reservations, [Reservation::new("i", 1, 8)]);
    assert_eq!(bench.hold(&claim("b", "i", 8, &[])), HoldReply::Held);
    let higher = Hold { rank: Rank::new(1, 0), ..claim("c", "i", 8, &[]) };
    assert_eq!(bench.hold(&higher), HoldReply::Held);
    assert_eq!(bench.gangs(), ["c"]);
}

/// Guards against claims and reservations beyond what is reserved or free (L1, L4).
#[test]
fn claim_faults() {
    let mut bench = Bench::new().with_reservation("i", 4);
    let cases = [
        (claim("a", "j", 4, &[]), Refusal::NoReservation { instance: "j".to_owned() }),
        (
            claim("a", "i", 5, &[]),
            Refusal::ExceedsReservation { instance: "i".to_owned(), requested: 5, reserved: 4 },
        ),
        (
            Hold { preemptible: false, ..borrowed("a", 0, 5) },
            Refusal::InsufficientUnreserved { requested: 5, free: 4 },
        ),
        (
            Hold { reserve: vec![Reservation::new("j", 1, 5)], ..Hold::default() },
            Refusal::InsufficientUnreserved { requested: 5, free: 4 },
        ),
        (
            Hold { reserve: vec![Reservation::new("i", 0, 1)], ..Hold::default() },
            Refusal::Stale { name: "i".to_owned(), epoch: 0, seen: 1 },
        ),
        (borrowed("a", 0, 9), Refusal::InsufficientAccelerators { requested: 9, free: 8 }),
    ];
    for (hold, refusal) in cases {
        let before = bench.report();
        assert_eq!(bench.hold(&hold), HoldReply::Refused(refusal));
        assert_eq!(bench.report(), before);
    }
}

/// Guards against a refused hold that leaves its reservation changes behind.
#[test]
fn hold_changes_reservations_or_nothing() {
    let mut bench = Bench::new().with_reservation("i", 4);
    let hold = Hold {
        unreserve: vec!["i".to_owned()],
        reserve: vec![Reservation::new("j", 1, 8)],
        ..claim("a", "missing", 8, &[])
    };
    assert!(matches!(bench.hold(&hold), HoldReply::Refused(_)));
    assert_eq!(bench.report().reservations, [Reservation::new("i", 1, 4)]);
    let hold = Hold { instance: Some("j".to_owned()), ..hold };
    assert_eq!(bench.hold(&hold), HoldReply::Held);
    bench.tick(HOLD_TIMEOUT);
    assert_eq!(bench.report().reservations, [Reservation::new("j", 1, 8)]);
}

/// Guards against a reservation that comes back after it was ended during its claim.
#[test]
fn unreserve_during_claim() {
    let mut bench = Bench::new().with_reservation("i", 8);
    assert_eq!(bench.hold(&claim("a", "i", 8, &[])), HoldReply::Held);
    let hold = Hold { epoch: 2, unreserve: vec!["i".to_owned()], ..Hold::default() };
    assert_eq!(bench.hold(&hold), HoldReply::Held);
    bench.tick(HOLD_TIMEOUT);
    assert_eq!(bench.report().reservations, []);
}

/// Guards against evicting guaranteed work (L3), and against freeing a victim's accelerators before
/// the worker confirms its end.
#[test]
fn claim_evicts_only_borrowed() {
    let mut bench = Bench::new().with_reservation("i", 4).with_reservation("j", 4);
    bench.commit(&claim("firm", "i", 4, &[]), me());
    bench.commit(&borrowed("loan", 1, 4), me());
    let hold = claim("claim", "j", 4, &["firm", "loan"]);
    let (reply, actions) = bench.ledger.hold(&hold, bench.now);
    assert_eq!(reply, HoldReply::Pending);
    assert!(matches!(&actions[..], [Action::Checkpoint { gang, .. }] if gang == "loan"));
    for _ in 0..8 {
        bench.tick(CHECKPOINT_GRACE / 8 - MS);
        assert_eq!(bench.hold(&hold), HoldReply::Pending);
    }
    assert!(kills(&bench.tick(10 * MS), "loan"));
    assert_eq!(bench.hold(&hold), HoldReply::Pending);
    bench.ledger.handle_worker_event("loan", 1, WorkerEvent::Stopped, bench.now);
    assert_eq!(bench.hold(&hold), HoldReply::Held);
    assert_eq!(bench.gangs(), ["claim", "firm"]);
}

/// Guards against a victim that runs on for its whole grace period after its checkpoint.
#[test]
fn checkpoint_ends_grace() {
    let mut bench = Bench::new().with_reservation("i", 8);
    bench.commit(&borrowed("loan", 1, 8), me());
    assert_eq!(bench.hold(&claim("claim", "i", 8, &["loan"])), HoldReply::Pending);
    let actions = bench.ledger.handle_worker_event("loan", 1, WorkerEvent::Checkpointed, bench.now);
    assert!(kills(&actions, "loan"));
}

/// Guards against commands of an ended proposal that take effect late (L6).
#[test]
fn stop_fences_late_commands() {
    let mut bench = Bench::new();
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    assert!(bench.stop("a", 5).0);
    bench.tick(FENCE_RETENTION - MS);
    let refusal = Refusal::Stale { name: "a".to_owned(), epoch: 1, seen: 5 };
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Refused(refusal.clone()));
    assert_eq!(bench.try_commit("a", 1, me()).0, Err(refusal));
    bench.commit(&Hold { epoch: 6, ..borrowed("a", 1, 8) }, me());
    assert!(!bench.stop("a", 5).0);
    assert_eq!(bench.gangs(), ["a"]);
    let refusal = Refusal::Committed { gang: "a".to_owned(), epoch: 6 };
    assert_eq!(bench.hold(&Hold { epoch: 7, ..borrowed("a", 1, 8) }), HoldReply::Refused(refusal));
}

/// Guards against late messages that start an ended task again, a renewal of an older epoch, and a
/// commit that is meant for another run of the agent (L6).
#[test]
fn late_messages_are_refused() {
    let mut bench = Bench::new();
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    let successor = Member::new(AgentId::new("w0", 2), "10.0.1.0:7");
    let members = vec![other(), successor];
    let commit = Commit { gang: "a".to_owned(), epoch: 1, members, task: Arc::new([]) };
    let refusal = Refusal::NotMember { gang: "a".to_owned() };
    assert_eq!(bench.ledger.commit(&commit, bench.now).0, Err(refusal));

    bench.start_remote(&Hold { epoch: 1, ..borrowed("a", 1, 8) });
    let old = Renew { gang: "a".to_owned(), epoch: 0, lease: GANG_LEASE, stamp: 2, sequence: 9 };
    let (reply, actions) = bench.ledger.renew(&old, bench.now);
    assert_eq!((reply.state, actions), (MemberState::Unknown, vec![]));
    bench.ledger.handle_worker_event("a", 1, WorkerEvent::Finished, bench.now);
    assert_eq!(bench.renew("a", 2), (MemberState::Finished, vec![]));
    let refusal = Refusal::Stale { name: "a".to_owned(), epoch: 1, seen: 1 };
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Refused(refusal));
}

/// Guards against a repeated commit that is refused, and one of a second proposer that is taken for
/// a repeat.
#[test]
fn commit_repeats() {
    let mut bench = Bench::new();
    bench.commit(&borrowed("a", 1, 8), other());
    assert_eq!(bench.try_commit("a", 1, other()).0, Ok(()));
    let refusal = Refusal::Committed { gang: "a".to_owned(), epoch: 1 };
    assert_eq!(bench.try_commit("a", 1, me()).0, Err(refusal));
}

/// Guards against a member that runs past its lease, counted from its own message and shortened by
/// the drift allowance of 1 %, and against a renewal that revives it.
#[test]
fn lease_expires_at_member() {
    let mut bench = Bench::new();
    bench.commit(&borrowed("a", 1, 8), other());
    bench.now += 500 * MS;
    assert_eq!(bench.renew("a", 1).0, MemberState::Running);
    assert!(!kills(&bench.tick(1479 * MS), "a"));
    // A delayed renewal that returns the same stamp adds nothing.
    assert_eq!(bench.renew("a", 1).0, MemberState::Running);
    assert!(kills(&bench.tick(MS), "a"));
    assert_eq!(bench.renew("a", 2).0, MemberState::Failed);
    assert_eq!(bench.gangs(), ["a"]);
    bench.ledger.handle_worker_event("a", 1, WorkerEvent::Stopped, bench.now);
    assert_eq!(bench.renew("a", 2).0, MemberState::Failed);
    assert_eq!(bench.gangs(), [""; 0]);
}

/// Guards against a stop that is lost on its way to the worker, and a task left over from it.
#[test]
fn stop_is_repeated_until_confirmed() {
    let mut bench = Bench::new();
    bench.start_remote(&borrowed("a", 1, 8));
    assert!(kills(&bench.stop("a", 1).1, "a"));
    bench.ledger.handle_worker_event("a", 1, WorkerEvent::NoAnswer, bench.now);
    assert!(kills(&bench.tick(500 * MS), "a"));
    assert_eq!(bench.gangs(), ["a"]);
    bench.ledger.worker_restarted(bench.now);
    assert_eq!(bench.gangs(), [""; 0]);
    assert!(kills(&bench.ledger.handle_worker_event("a", 1, WorkerEvent::Started, bench.now), "a"));
}

/// Guards against new holds during a drain, and against a drain that ends running work.
#[test]
fn drain_refuses_holds() {
    let mut bench = Bench::new();
    bench.commit(&borrowed("a", 1, 4), me());
    bench.ledger.drain();
    assert_eq!(bench.hold(&borrowed("b", 0, 4)), HoldReply::Refused(Refusal::Draining));
    assert!(!bench.report().serving);
    assert_eq!(bench.gangs(), ["a"]);
    bench.ledger.undrain();
    assert_eq!(bench.hold(&borrowed("b", 0, 4)), HoldReply::Held);
}

/// Guards against accelerators that are granted while tasks of a predecessor may still run.
#[test]
fn restart_waits_for_old_leases() {
    let mut bench = Bench::new();
    bench.ledger = Ledger::new(AgentId::new("w0", 2), 8, bench.now);
    bench.tick(GANG_LEASE);
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Refused(Refusal::Starting));
    bench.tick(GANG_LEASE / 20);
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Held);
}

/// Guards against a task that keeps more memory than it declared.
#[test]
fn overuse_throttles_then_checkpoints_then_stops() {
    let mut bench = Bench::new();
    bench.commit(&Hold { memory: 100, ..borrowed("a", 1, 8) }, me());
    let mut seen = Vec::new();
    for _ in 0..80 {
        seen.extend(bench.ledger.record_memory_usage("a", 101, bench.now));
        seen.extend(bench.tick(100 * MS));
    }
    seen.retain(|action| !matches!(action, Action::Extend { .. }));
    let order: Vec<&str> = seen
        .iter()
        .map(|action| match action {
            Action::Throttle { .. } => "throttle",
            Action::Checkpoint { .. } => "checkpoint",
            Action::Kill { .. } => "kill",
            Action::Ended { end: End::Stopped, .. } => "ended",
            _ => "other",
        })
        .collect();
    assert_eq!(order[..3], ["throttle", "checkpoint", "kill"]);
    assert!(order.contains(&"ended"), "{order:?}");
}

/// Guards against a lead that does not say which member stopped answering.
#[test]
fn silent_member_is_named() {
    let mut bench = Bench::new();
    assert_eq!(bench.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    let members = vec![me(), other()];
    let commit = Commit { gang: "a".to_owned(), epoch: 1, members, task: Arc::new([]) };
    bench.ledger.commit(&commit, bench.now).0.unwrap();
    let ready = skylarkpulley_ledger::Ready {
        gang: "a".to_owned(),
        epoch: 1,
        member: other().agent,
        stamp: 1,
        state: MemberState::Ready,
    };
    assert!(bench.ledger.handle_ready(&ready, bench.now).0);
    let actions: Vec<Action> = (0..20).flat_map(|_| bench.tick(100 * MS)).collect();
    let ended = actions.iter().find_map(|action| match action {
        Action::Ended { end, reason, .. } => Some((end, reason.as_str())),
        _ => None,
    });
    assert_eq!(ended, Some((&End::Failed, "w1#1 did not confirm a lease renewal in time")));
}
