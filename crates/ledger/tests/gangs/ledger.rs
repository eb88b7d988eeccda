//! Rules of a single ledger.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_ledger::{
    Action, CHECKPOINT_GRACE, Commit, End, FENCE_RETENTION, GANG_LEASE, HOLD_TIMEOUT, Hold,
    HoldReply, Ledger, Member, MemberState, Rank, Refusal, Renew, Report, Reservation, Stop,
    WorkerEvent,
};
use skylarkpulley_types::AgentId;

const MILLISECOND: Duration = Duration::from_millis(1);

struct Fixture {
    ledger: Ledger,
    now: Instant,
}

fn local_member() -> Member {
    Member::new(AgentId::new("w0", 1), "10.0.1.0:7")
}

fn remote_member() -> Member {
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

impl Fixture {
    fn new() -> Self {
        let now = Instant::now() + Duration::from_secs(100);
        Self { ledger: Ledger::new(local_member().agent, 8, now).with_idle_worker(now), now }
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
        let members = if lead == local_member() { vec![lead] } else { vec![lead, local_member()] };
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
        self.commit(hold, remote_member());
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

    fn granted_gangs(&self) -> Vec<String> {
        self.report().grants.into_iter().map(|grant| grant.gang).collect()
    }
}

fn has_kill(actions: &[Action], name: &str) -> bool {
    actions.iter().any(|action| matches!(action, Action::Kill { gang, .. } if gang == name))
}

/// Guards against holds that do not expire after 1 s, and against the expiry of a hold that is
/// requested again.
#[test]
fn hold_expires() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    fixture.tick(HOLD_TIMEOUT - MILLISECOND);
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    fixture.tick(HOLD_TIMEOUT - MILLISECOND);
    assert_eq!(fixture.granted_gangs(), ["a"]);
    fixture.tick(MILLISECOND);
    assert_eq!(fixture.granted_gangs(), [""; 0]);
    let refusal = Refusal::NotHeld { gang: "a".to_owned(), epoch: 1 };
    assert_eq!(fixture.try_commit("a", 1, local_member()).0, Err(refusal));
}

/// Guards against a task that does not start on commit although there is no other member to wait
/// for.
#[test]
fn single_task_starts_at_once() {
    let mut fixture = Fixture::new();
    let actions = fixture.commit(&borrowed("a", 1, 8), local_member());
    assert!(matches!(&actions[..], [Action::Start { gang, .. }] if gang == "a"));
    let report = fixture.report();
    assert!(report.grants[0].running);
    assert_eq!(report.grants[0].lead, Some(local_member().agent));
}

/// Guards against a lower-ranked hold that blocks a higher-ranked one, and against a higher-ranked
/// hold that is dropped for a lower-ranked one (L5).
#[test]
fn hold_drops_lower_rank() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.hold(&borrowed("low", 7, 8)), HoldReply::Held);
    assert_eq!(fixture.hold(&borrowed("high", 2, 8)), HoldReply::Held);
    assert_eq!(fixture.granted_gangs(), ["high"]);
    let refusal = Refusal::InsufficientAccelerators { requested: 8, free: 0 };
    assert_eq!(fixture.hold(&borrowed("low", 7, 8)), HoldReply::Refused(refusal));
    let refusal = Refusal::NotHeld { gang: "low".to_owned(), epoch: 1 };
    assert_eq!(fixture.try_commit("low", 1, local_member()).0, Err(refusal));
}

/// Guards against a higher-ranked hold that loses accelerators to a lower-ranked one while it waits
/// for a commit that lapses.
#[test]
fn hold_waits_for_unstarted_commit() {
    let mut fixture = Fixture::new();
    fixture.commit(&borrowed("low", 7, 8), remote_member());
    assert_eq!(fixture.hold(&borrowed("high", 2, 6)), HoldReply::Pending);
    for _ in 0..4 {
        fixture.tick(500 * MILLISECOND);
        assert!(matches!(fixture.hold(&borrowed("mid", 5, 4)), HoldReply::Refused(_)));
        fixture.hold(&borrowed("high", 2, 6));
    }
    assert_eq!(fixture.granted_gangs(), ["high"]);
}

/// Guards against a small pending hold that takes accelerators for which a larger hold ahead of it
/// is waiting.
#[test]
fn pending_holds_keep_their_order() {
    let mut fixture = Fixture::new().with_reservation("i", 4);
    fixture.start_remote(&borrowed("big", 1, 5));
    fixture.commit(&borrowed("small", 1, 3), local_member());
    assert_eq!(fixture.hold(&claim("claim", "i", 4, &["big"])), HoldReply::Pending);
    assert!(matches!(fixture.hold(&borrowed("late", 0, 2)), HoldReply::Refused(_)));
    assert_eq!(fixture.hold(&borrowed("next", 0, 1)), HoldReply::Pending);
    fixture.ledger.handle_worker_event("small", 1, WorkerEvent::Finished, fixture.now);
    assert_eq!(fixture.granted_gangs(), ["big"]);
    fixture.ledger.handle_worker_event("big", 1, WorkerEvent::Finished, fixture.now);
    assert_eq!(fixture.granted_gangs(), ["claim", "next"]);
}

/// Guards against two gangs that claim the same instance, and against a reservation that is not
/// restored (L4).
#[test]
fn claim_converts_reservation() {
    let mut fixture = Fixture::new().with_reservation("i", 8);
    assert_eq!(fixture.hold(&claim("a", "i", 8, &[])), HoldReply::Held);
    assert!(fixture.report().reservations.is_empty());
    let refusal = Refusal::Claimed { instance: "i".to_owned(), gang: "a".to_owned() };
    assert_eq!(fixture.hold(&claim("b", "i", 8, &[])), HoldReply::Refused(refusal));
    fixture.tick(HOLD_TIMEOUT);
    assert_eq!(fixture.report().reservations, [Reservation::new("i", 1, 8)]);
    assert_eq!(fixture.hold(&claim("b", "i", 8, &[])), HoldReply::Held);
    let higher = Hold { rank: Rank::new(1, 0), ..claim("c", "i", 8, &[]) };
    assert_eq!(fixture.hold(&higher), HoldReply::Held);
    assert_eq!(fixture.granted_gangs(), ["c"]);
}

/// Guards against claims and reservations that exceed the reserved or free accelerators (L1, L4).
#[test]
fn claim_faults() {
    let mut fixture = Fixture::new().with_reservation("i", 4);
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
        let before = fixture.report();
        assert_eq!(fixture.hold(&hold), HoldReply::Refused(refusal));
        assert_eq!(fixture.report(), before);
    }
}

/// Guards against a refused hold whose reservation changes are kept.
#[test]
fn hold_changes_reservations_or_nothing() {
    let mut fixture = Fixture::new().with_reservation("i", 4);
    let hold = Hold {
        unreserve: vec!["i".to_owned()],
        reserve: vec![Reservation::new("j", 1, 8)],
        ..claim("a", "missing", 8, &[])
    };
    assert!(matches!(fixture.hold(&hold), HoldReply::Refused(_)));
    assert_eq!(fixture.report().reservations, [Reservation::new("i", 1, 4)]);
    let hold = Hold { instance: Some("j".to_owned()), ..hold };
    assert_eq!(fixture.hold(&hold), HoldReply::Held);
    fixture.tick(HOLD_TIMEOUT);
    assert_eq!(fixture.report().reservations, [Reservation::new("j", 1, 8)]);
}

/// Guards against a reservation that is restored although it was removed while it was claimed.
#[test]
fn unreserve_during_claim() {
    let mut fixture = Fixture::new().with_reservation("i", 8);
    assert_eq!(fixture.hold(&claim("a", "i", 8, &[])), HoldReply::Held);
    let hold = Hold { epoch: 2, unreserve: vec!["i".to_owned()], ..Hold::default() };
    assert_eq!(fixture.hold(&hold), HoldReply::Held);
    fixture.tick(HOLD_TIMEOUT);
    assert_eq!(fixture.report().reservations, []);
}

/// Guards against evicting guaranteed work (L3), and against freeing the accelerators of an evicted
/// task before the worker confirms its end.
#[test]
fn claim_evicts_only_borrowed() {
    let mut fixture = Fixture::new().with_reservation("i", 4).with_reservation("j", 4);
    fixture.commit(&claim("firm", "i", 4, &[]), local_member());
    fixture.commit(&borrowed("loan", 1, 4), local_member());
    let hold = claim("claim", "j", 4, &["firm", "loan"]);
    let (reply, actions) = fixture.ledger.hold(&hold, fixture.now);
    assert_eq!(reply, HoldReply::Pending);
    assert!(matches!(&actions[..], [Action::Checkpoint { gang, .. }] if gang == "loan"));
    for _ in 0..8 {
        fixture.tick(CHECKPOINT_GRACE / 8 - MILLISECOND);
        assert_eq!(fixture.hold(&hold), HoldReply::Pending);
    }
    assert!(has_kill(&fixture.tick(10 * MILLISECOND), "loan"));
    assert_eq!(fixture.hold(&hold), HoldReply::Pending);
    fixture.ledger.handle_worker_event("loan", 1, WorkerEvent::Stopped, fixture.now);
    assert_eq!(fixture.hold(&hold), HoldReply::Held);
    assert_eq!(fixture.granted_gangs(), ["claim", "firm"]);
}

/// Guards against an evicted task that keeps running until the end of its grace period after it has
/// written its checkpoint.
#[test]
fn checkpoint_ends_grace() {
    let mut fixture = Fixture::new().with_reservation("i", 8);
    fixture.commit(&borrowed("loan", 1, 8), local_member());
    assert_eq!(fixture.hold(&claim("claim", "i", 8, &["loan"])), HoldReply::Pending);
    let actions =
        fixture.ledger.handle_worker_event("loan", 1, WorkerEvent::Checkpointed, fixture.now);
    assert!(has_kill(&actions, "loan"));
}

/// Guards against commands of an ended proposal that take effect late (L6).
#[test]
fn stop_fences_late_commands() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    assert!(fixture.stop("a", 5).0);
    fixture.tick(FENCE_RETENTION - MILLISECOND);
    let refusal = Refusal::Stale { name: "a".to_owned(), epoch: 1, seen: 5 };
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Refused(refusal.clone()));
    assert_eq!(fixture.try_commit("a", 1, local_member()).0, Err(refusal));
    fixture.commit(&Hold { epoch: 6, ..borrowed("a", 1, 8) }, local_member());
    assert!(!fixture.stop("a", 5).0);
    assert_eq!(fixture.granted_gangs(), ["a"]);
    let refusal = Refusal::Committed { gang: "a".to_owned(), epoch: 6 };
    assert_eq!(
        fixture.hold(&Hold { epoch: 7, ..borrowed("a", 1, 8) }),
        HoldReply::Refused(refusal)
    );
}

/// Guards against late messages that start an ended task again, against a renewal with an older
/// epoch, and against a commit that is addressed to another incarnation of the agent (L6).
#[test]
fn late_messages_are_refused() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    let successor = Member::new(AgentId::new("w0", 2), "10.0.1.0:7");
    let members = vec![remote_member(), successor];
    let commit = Commit { gang: "a".to_owned(), epoch: 1, members, task: Arc::new([]) };
    let refusal = Refusal::NotMember { gang: "a".to_owned() };
    assert_eq!(fixture.ledger.commit(&commit, fixture.now).0, Err(refusal));

    fixture.start_remote(&Hold { epoch: 1, ..borrowed("a", 1, 8) });
    let stale_renewal =
        Renew { gang: "a".to_owned(), epoch: 0, lease: GANG_LEASE, stamp: 2, sequence: 9 };
    let (reply, actions) = fixture.ledger.renew(&stale_renewal, fixture.now);
    assert_eq!((reply.state, actions), (MemberState::Unknown, vec![]));
    fixture.ledger.handle_worker_event("a", 1, WorkerEvent::Finished, fixture.now);
    assert_eq!(fixture.renew("a", 2), (MemberState::Finished, vec![]));
    let refusal = Refusal::Stale { name: "a".to_owned(), epoch: 1, seen: 1 };
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Refused(refusal));
}

/// Guards against refusing a repeated commit, and against accepting the commit of a second proposer
/// as a repeat.
#[test]
fn commit_repeats() {
    let mut fixture = Fixture::new();
    fixture.commit(&borrowed("a", 1, 8), remote_member());
    assert_eq!(fixture.try_commit("a", 1, remote_member()).0, Ok(()));
    let refusal = Refusal::Committed { gang: "a".to_owned(), epoch: 1 };
    assert_eq!(fixture.try_commit("a", 1, local_member()).0, Err(refusal));
}

/// Guards against a member that runs for longer than its lease, which counts from the member's own
/// message and is shortened by 1 % for clock drift, and against a renewal that restarts it.
#[test]
fn lease_expires_at_member() {
    let mut fixture = Fixture::new();
    fixture.commit(&borrowed("a", 1, 8), remote_member());
    fixture.now += 500 * MILLISECOND;
    assert_eq!(fixture.renew("a", 1).0, MemberState::Running);
    assert!(!has_kill(&fixture.tick(1479 * MILLISECOND), "a"));
    // A delayed renewal with the same stamp does not extend the lease.
    assert_eq!(fixture.renew("a", 1).0, MemberState::Running);
    assert!(has_kill(&fixture.tick(MILLISECOND), "a"));
    assert_eq!(fixture.renew("a", 2).0, MemberState::Failed);
    assert_eq!(fixture.granted_gangs(), ["a"]);
    fixture.ledger.handle_worker_event("a", 1, WorkerEvent::Stopped, fixture.now);
    assert_eq!(fixture.renew("a", 2).0, MemberState::Failed);
    assert_eq!(fixture.granted_gangs(), [""; 0]);
}

/// Guards against a stop command that is lost on the way to the worker, and against a task that
/// keeps running because of it.
#[test]
fn stop_is_repeated_until_confirmed() {
    let mut fixture = Fixture::new();
    fixture.start_remote(&borrowed("a", 1, 8));
    assert!(has_kill(&fixture.stop("a", 1).1, "a"));
    fixture.ledger.handle_worker_event("a", 1, WorkerEvent::NoAnswer, fixture.now);
    assert!(has_kill(&fixture.tick(500 * MILLISECOND), "a"));
    assert_eq!(fixture.granted_gangs(), ["a"]);
    fixture.ledger.worker_restarted(fixture.now);
    assert_eq!(fixture.granted_gangs(), [""; 0]);
    assert!(has_kill(
        &fixture.ledger.handle_worker_event("a", 1, WorkerEvent::Started, fixture.now),
        "a"
    ));
}

/// Guards against new holds during a drain, and against a drain that ends running work.
#[test]
fn drain_refuses_holds() {
    let mut fixture = Fixture::new();
    fixture.commit(&borrowed("a", 1, 4), local_member());
    fixture.ledger.drain();
    assert_eq!(fixture.hold(&borrowed("b", 0, 4)), HoldReply::Refused(Refusal::Draining));
    assert!(!fixture.report().serving);
    assert_eq!(fixture.granted_gangs(), ["a"]);
    fixture.ledger.undrain();
    assert_eq!(fixture.hold(&borrowed("b", 0, 4)), HoldReply::Held);
}

/// Guards against granting accelerators while tasks of the agent's previous incarnation may still
/// be running.
#[test]
fn restart_waits_for_old_leases() {
    let mut fixture = Fixture::new();
    fixture.ledger = Ledger::new(AgentId::new("w0", 2), 8, fixture.now);
    fixture.tick(GANG_LEASE);
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Refused(Refusal::Starting));
    fixture.tick(GANG_LEASE / 20);
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Held);
}

/// Guards against a task that keeps using more memory than it declared.
#[test]
fn overuse_throttles_then_checkpoints_then_stops() {
    let mut fixture = Fixture::new();
    fixture.commit(&Hold { memory: 100, ..borrowed("a", 1, 8) }, local_member());
    let mut performed = Vec::new();
    for _ in 0..80 {
        performed.extend(fixture.ledger.record_memory_usage("a", 101, fixture.now));
        performed.extend(fixture.tick(100 * MILLISECOND));
    }
    performed.retain(|action| !matches!(action, Action::Extend { .. }));
    let order: Vec<&str> = performed
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

/// Guards against a lead that does not report which member stopped replying.
#[test]
fn unresponsive_member_is_named() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.hold(&borrowed("a", 1, 8)), HoldReply::Held);
    let members = vec![local_member(), remote_member()];
    let commit = Commit { gang: "a".to_owned(), epoch: 1, members, task: Arc::new([]) };
    fixture.ledger.commit(&commit, fixture.now).0.unwrap();
    let ready = skylarkpulley_ledger::Ready {
        gang: "a".to_owned(),
        epoch: 1,
        member: remote_member().agent,
        stamp: 1,
        state: MemberState::Ready,
    };
    assert!(fixture.ledger.handle_ready(&ready, fixture.now).0);
    let actions: Vec<Action> = (0..20).flat_map(|_| fixture.tick(100 * MILLISECOND)).collect();
    let ended = actions.iter().find_map(|action| match action {
        Action::Ended { end, reason, .. } => Some((end, reason.as_str())),
        _ => None,
    });
    assert_eq!(ended, Some((&End::Failed, "w1#1 did not confirm a lease renewal in time")));
}
