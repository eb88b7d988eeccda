use std::time::Duration;

use skylarkpulley_platform_standins::{Day, Disruption, LostAnswers, Outage, Span, Traffic};

use crate::SoakError;

/// Longest lease of the workers of the users' site novias-vc.
const SITE_LEASE: Duration = Duration::from_secs(6);

/// Range of the delay, in seconds, after which a late write is applied.
const LATE_DELAY_S: (f64, f64) = (1.0, 6.0);

/// What a leader is cut off from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutTarget {
    /// All agents.
    Agents,
    /// The other entries.
    Entries,
    /// The store.
    Store,
}

/// Which bytes a cut holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Those that the leader sends and those that it receives.
    Both,
    /// Those that it sends.
    Sent,
    /// Those that it receives.
    Received,
}

/// Which connections a cut concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connections {
    /// All.
    All,
    /// Those that were opened before the cut.
    Earlier,
    /// Those that are opened after its beginning.
    Later,
}

/// A cut between the leader and others.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    /// Which connections are concerned.
    pub connections: Connections,
    /// Which bytes are held.
    pub direction: Direction,
    /// Length.
    pub length: Duration,
    /// Who is cut off from the leader.
    pub targets: Vec<CutTarget>,
}

impl Cut {
    /// Returns a cut of all connections to the store and the other entries.
    fn new(length: Duration) -> Self {
        Self {
            connections: Connections::All,
            direction: Direction::Both,
            length,
            targets: vec![CutTarget::Entries, CutTarget::Store],
        }
    }
}

/// One action of a play.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Cuts the leader off.
    Cut(Cut),
    /// Crashes workers, which start again after this time.
    CrashWorkers(Vec<usize>, Duration),
    /// Kills the entry that leads, and starts it again after this time.
    KillLeader(Duration),
    /// Loses answers of the store for this time.
    LoseAnswers(LostAnswers, Duration),
    /// Pauses an entry for this time.
    PauseEntry(usize, Duration),
    /// Pauses the entry that leads for this time.
    PauseLeader(Duration),
    /// Leaves workers this share of their capacity for this time.
    ShrinkWorkers(Vec<usize>, f64, Duration),
    /// Takes the store away for this time.
    StoreAway(Outage, Duration),
}

/// An action with its time after the start of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedStep {
    /// When it is due.
    pub at: Duration,
    /// The action.
    pub step: Step,
}

/// Kinds of plays, which vary a day.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The day as it is.
    Day,
    /// The entry that leads after a cut is killed and started again.
    Kill,
    /// Writes without an answer are applied 1 to 6 s late.
    Late,
    /// Reads are lost as well.
    Reads,
    /// The entry that leads after a cut is paused.
    NextPaused,
    /// The leader is paused instead of cut off.
    PauseLeader,
    /// Only bytes of the leader are held.
    Sent,
    /// Only bytes to the leader are held.
    Received,
    /// The leader is cut off from the store only.
    StoreOnly,
    /// The leader is cut off from the other entries only.
    EntriesOnly,
    /// The leader is cut off from its agents as well.
    AllParties,
    /// Only connections from before a cut are held, for good.
    Earlier,
    /// Only connections from after the beginning of a cut are held.
    Later,
    /// A new cut of the leader every 1.6 to 4 s.
    Rolling,
    /// The same, and leaders are killed.
    RollingKill,
    /// Entries stand still for 0.5 to 3 s in turn, beside the day.
    Stalls,
    /// The same, and leaders are killed.
    StallsKill,
    /// Workers accept leases of 3 s.
    ShortLease,
    /// Workers accept leases of 10 s.
    LongLease,
    /// Each cut is of a random variant.
    Mixed,
    /// Workers start what does not fit.
    Unenforced,
    /// Random crashes and capacity of workers, kills and cuts of the leader and outages of the
    /// store instead of the day's faults, with jobs that crash workers.
    Waves,
}

impl Kind {
    /// All kinds, by their names.
    pub const NAMED: [(&'static str, Self); 22] = [
        ("day", Self::Day),
        ("kill", Self::Kill),
        ("late", Self::Late),
        ("reads", Self::Reads),
        ("next-paused", Self::NextPaused),
        ("pause-leader", Self::PauseLeader),
        ("sent", Self::Sent),
        ("received", Self::Received),
        ("store-only", Self::StoreOnly),
        ("entries-only", Self::EntriesOnly),
        ("all-parties", Self::AllParties),
        ("earlier", Self::Earlier),
        ("later", Self::Later),
        ("rolling", Self::Rolling),
        ("rolling-kill", Self::RollingKill),
        ("stalls", Self::Stalls),
        ("stalls-kill", Self::StallsKill),
        ("short-lease", Self::ShortLease),
        ("long-lease", Self::LongLease),
        ("mixed", Self::Mixed),
        ("unenforced", Self::Unenforced),
        ("waves", Self::Waves),
    ];

    /// Returns the kind with this name.
    ///
    /// # Errors
    /// [`SoakError::UnknownKind`] when there is none.
    pub fn named(name: &str) -> Result<Self, SoakError> {
        let found = Self::NAMED.iter().find(|(known, _)| *known == name);
        found.map(|(_, kind)| *kind).ok_or_else(|| SoakError::UnknownKind {
            name: name.to_owned(),
            known: Self::NAMED.map(|(known, _)| known).join(", "),
        })
    }
}

/// The plan of one play.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Whether workers refuse what does not fit.
    pub enforced: bool,
    /// Longest lease that workers accept.
    pub lease: Duration,
    /// Actions, ordered by time.
    pub steps: Vec<PlannedStep>,
    /// What callers submit.
    pub traffic: Traffic,
}

impl Scenario {
    /// Returns the plan of a day, varied by `kind` and `seed`. The same arguments give the same
    /// plan.
    ///
    /// # Errors
    /// [`SoakError::Standin`] when the day has a fault that the soak cannot inject.
    pub fn new(
        day: &Day,
        kind: Kind,
        (entries, workers): (usize, usize),
        seed: u64,
    ) -> Result<Self, SoakError> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let length = Duration::from_secs_f64(day.length_s);
        let mut traffic = Traffic { length, ..Traffic::default() };
        let mut steps = Vec::new();
        for fault in &day.faults {
            let at = Duration::from_secs_f64(fault.at);
            let span = |value, length| Span { at, until: at + length, value };
            let mut draw = |share| draw_workers(&mut rng, workers, share);
            let step = match fault.disruption()? {
                Disruption::Burst(factor, length) => {
                    traffic.bursts.push(span(factor, length));
                    continue;
                }
                Disruption::CrashingTasks(share, length) => {
                    traffic.crashing.push(span(share, length));
                    continue;
                }
                Disruption::LeaderCut(length) => Step::Cut(Cut::new(length)),
                Disruption::LeaderKilled(down) => Step::KillLeader(down),
                Disruption::LostWrites { late, length, share } => {
                    let delay_s = late.then_some(LATE_DELAY_S);
                    Step::LoseAnswers(LostAnswers { writes: share, reads: 0.0, delay_s }, length)
                }
                Disruption::StoreAway(outage, length) => Step::StoreAway(outage, length),
                Disruption::WorkersCrashed { down, share } => Step::CrashWorkers(draw(share), down),
                Disruption::WorkersShrunk { left, length, share } => {
                    Step::ShrinkWorkers(draw(share), left, length)
                }
            };
            steps.push(PlannedStep { at, step });
        }
        match kind {
            Kind::Rolling | Kind::RollingKill => {
                steps = rolling_cuts(&mut rng, length, kind == Kind::RollingKill);
            }
            Kind::Waves => {
                steps = waves(&mut rng, length, workers);
                let crashing = Span { at: Duration::ZERO, until: length / 2, value: 0.1 };
                traffic = Traffic { crashing: vec![crashing], length, ..Traffic::default() };
            }
            _ => {
                steps = steps.into_iter().flat_map(|step| vary(&mut rng, kind, step)).collect();
            }
        }
        if matches!(kind, Kind::Stalls | Kind::StallsKill) {
            steps.extend(stalls(&mut rng, length, entries));
        }
        steps.sort_by_key(|planned| planned.at);
        let lease = match kind {
            Kind::ShortLease => Duration::from_secs(3),
            Kind::LongLease => Duration::from_secs(10),
            _ => SITE_LEASE,
        };
        Ok(Self { enforced: kind != Kind::Unenforced, lease, steps, traffic })
    }
}

/// Returns the steps that take the place of one step of the day.
fn vary(rng: &mut fastrand::Rng, kind: Kind, planned: PlannedStep) -> Vec<PlannedStep> {
    let kind = match kind {
        Kind::Mixed => {
            let drawn = [
                Kind::Day,
                Kind::Kill,
                Kind::Late,
                Kind::Reads,
                Kind::NextPaused,
                Kind::PauseLeader,
                Kind::Sent,
                Kind::Received,
                Kind::StoreOnly,
                Kind::EntriesOnly,
                Kind::AllParties,
                Kind::Earlier,
                Kind::Later,
            ];
            drawn[rng.usize(..drawn.len())]
        }
        kind => kind,
    };
    let at = planned.at;
    match planned.step {
        Step::Cut(cut) => vary_cut(rng, kind, at, cut),
        Step::LoseAnswers(lost, length) => {
            let lost = match kind {
                Kind::Late => {
                    let writes = if rng.bool() { lost.writes } else { 0.8 };
                    LostAnswers { writes, delay_s: Some(LATE_DELAY_S), ..lost }
                }
                Kind::Reads => LostAnswers { reads: lost.writes, ..lost },
                _ => lost,
            };
            vec![PlannedStep { at, step: Step::LoseAnswers(lost, length) }]
        }
        step => vec![PlannedStep { at, step }],
    }
}

fn vary_cut(rng: &mut fastrand::Rng, kind: Kind, at: Duration, cut: Cut) -> Vec<PlannedStep> {
    let with = |targets: &[CutTarget]| Cut { targets: targets.to_vec(), ..cut.clone() };
    let varied = match kind {
        Kind::PauseLeader => {
            return vec![PlannedStep { at, step: Step::PauseLeader(cut.length) }];
        }
        Kind::Sent => Cut { direction: Direction::Sent, ..cut.clone() },
        Kind::Received => Cut { direction: Direction::Received, ..cut.clone() },
        Kind::StoreOnly => with(&[CutTarget::Store]),
        Kind::EntriesOnly => with(&[CutTarget::Entries]),
        Kind::AllParties => with(&[CutTarget::Agents, CutTarget::Entries, CutTarget::Store]),
        Kind::Earlier => Cut { connections: Connections::Earlier, ..cut.clone() },
        Kind::Later => Cut { connections: Connections::Later, ..cut.clone() },
        _ => cut,
    };
    let mut steps = vec![PlannedStep { at, step: Step::Cut(varied) }];
    match kind {
        Kind::Kill | Kind::StallsKill => steps.push(kill_next_leader(rng, at)),
        Kind::NextPaused => {
            let pause = between(rng, 0.5, 6.0);
            let at = at + between(rng, 0.9, 2.5);
            steps.push(PlannedStep { at, step: Step::PauseLeader(pause) });
        }
        _ => {}
    }
    steps
}

/// Kills the entry that leads 1 to 3.5 s after the cut at `cut_at`, and starts it again.
fn kill_next_leader(rng: &mut fastrand::Rng, cut_at: Duration) -> PlannedStep {
    let down = between(rng, 0.2, 2.0);
    PlannedStep { at: cut_at + between(rng, 1.0, 3.5), step: Step::KillLeader(down) }
}

/// Cuts of each leader in turn, shorter than the time for which an earlier leader may extend leases.
fn rolling_cuts(rng: &mut fastrand::Rng, length: Duration, kill: bool) -> Vec<PlannedStep> {
    let mut steps = Vec::new();
    let mut at = Duration::from_secs(4);
    while at + Duration::from_secs(10) < length {
        let cut = Cut::new(between(rng, 2.0, 8.0));
        steps.push(PlannedStep { at, step: Step::Cut(cut) });
        if rng.f64() < 0.5 {
            let lost = LostAnswers { writes: 0.35, ..LostAnswers::default() };
            let step = Step::LoseAnswers(lost, between(rng, 0.5, 3.0));
            steps.push(PlannedStep { at: at + between(rng, 0.2, 1.5), step });
        }
        if kill && rng.f64() < 0.5 {
            steps.push(kill_next_leader(rng, at));
        }
        at += between(rng, 1.6, 4.0);
    }
    steps
}

/// Random faults of workers, leaders and store, which overlap.
fn waves(rng: &mut fastrand::Rng, length: Duration, workers: usize) -> Vec<PlannedStep> {
    let mut steps = Vec::new();
    let mut at = Duration::from_secs(3);
    while at + Duration::from_secs(10) < length {
        let share = 0.1 + 0.5 * rng.f64();
        let step = match rng.u32(..10) {
            0..=3 => Step::CrashWorkers(draw_workers(rng, workers, share), between(rng, 0.3, 4.0)),
            4..=5 => {
                let left = rng.f64() * 0.75;
                Step::ShrinkWorkers(draw_workers(rng, workers, share), left, between(rng, 2.0, 8.0))
            }
            6 => Step::KillLeader(between(rng, 0.2, 2.0)),
            7 => Step::Cut(Cut::new(between(rng, 2.0, 8.0))),
            8 => {
                let outage = if rng.bool() { Outage::Silent } else { Outage::Refusing };
                Step::StoreAway(outage, between(rng, 1.0, 8.0))
            }
            _ => {
                let delay_s = rng.bool().then_some(LATE_DELAY_S);
                let lost = LostAnswers { writes: 0.35, reads: 0.0, delay_s };
                Step::LoseAnswers(lost, between(rng, 0.5, 4.0))
            }
        };
        steps.push(PlannedStep { at, step });
        at += between(rng, 0.5, 4.0);
    }
    steps
}

/// Draws a share of the workers, at least one.
fn draw_workers(rng: &mut fastrand::Rng, workers: usize, share: f64) -> Vec<usize> {
    let count = (share * workers as f64).round().clamp(1.0, workers as f64) as usize;
    rng.choose_multiple(0..workers, count)
}

fn stalls(rng: &mut fastrand::Rng, length: Duration, entries: usize) -> Vec<PlannedStep> {
    let mut steps = Vec::new();
    let mut at = Duration::from_secs(2);
    while at + Duration::from_secs(5) < length {
        let step = Step::PauseEntry(rng.usize(..entries), between(rng, 0.5, 3.0));
        steps.push(PlannedStep { at, step });
        at += between(rng, 0.5, 3.0);
    }
    steps
}

/// Returns a random duration between two bounds in seconds.
fn between(rng: &mut fastrand::Rng, least: f64, most: f64) -> Duration {
    Duration::from_secs_f64(least + rng.f64() * (most - least))
}
