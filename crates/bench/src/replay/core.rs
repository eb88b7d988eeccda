use std::time::{Duration, Instant};

use skylarkpulley_placement::{
    Action, Event, GangEnd, HoldResult, InstanceStatus, JobSpec, Placer, PreemptMode, WorkerReport,
};
use skylarkpulley_tables::Pool;
use skylarkpulley_types::AgentId;

use super::physical::{End, Order, Scheduler};
use super::{EventList, Millis};

/// The placement core as a scheduler of a replay.
pub struct Core {
    placer: Placer,
    origin: Instant,
    agents: Vec<AgentId>,
    places: Vec<(String, String)>,
    specs: Vec<JobSpec>,
    orders: Vec<Order>,
    /// Jobs that were stopped as sick or refused.
    pub dropped: usize,
}

impl Core {
    /// Returns a placer with all workers joined and reported.
    pub fn new(pool: &Pool, list: &EventList, seed: u64) -> Self {
        let origin = Instant::now();
        let mut core = Self {
            placer: Placer::new(pool, origin).with_seed(seed),
            origin,
            agents: Vec::new(),
            places: Vec::new(),
            specs: Vec::new(),
            orders: Vec::new(),
            dropped: 0,
        };
        for domain in &pool.domains {
            for (rack, count) in domain.racks.iter().enumerate() {
                for _ in 0..*count {
                    let ix = core.agents.len();
                    core.agents.push(AgentId::new(&format!("w{ix}"), 0));
                    core.places.push((domain.name.clone(), format!("{}-{rack}", domain.name)));
                    core.worker(ix, true, 0);
                }
            }
        }
        for (ix, job) in list.jobs.iter().enumerate() {
            let mut spec = JobSpec::new(&format!("j{ix}"), &format!("t{}", job.team), job.shape);
            spec.kind = format!("k{}", job.kind);
            spec.class = job.class;
            spec.run_time = Duration::from_millis(job.declared);
            spec.preemption = job.preemption;
            spec.claim = job.claim.map(str::to_owned);
            spec.urgent = job.claim.is_some();
            core.specs.push(spec);
        }
        core
    }

    fn at(&self, now: Millis) -> Instant {
        self.origin + Duration::from_millis(now)
    }

    fn send(&mut self, event: Event, now: Millis) {
        self.placer.handle(event, self.at(now));
    }

    fn take(&mut self, action: Action) {
        let index = |job: &str| job[1..].parse().expect("job ids are j<number>");
        match action {
            Action::Place { job, epoch, members, .. } => {
                let worker =
                    |agent: &AgentId| agent.name[1..].parse().expect("names are w<number>");
                let workers = members.iter().map(|member| worker(&member.worker)).collect();
                self.orders.push(Order::Start { job: index(&job), epoch, workers });
            }
            Action::Release { job, epoch, .. } => {
                self.orders.push(Order::Release { job: index(&job), epoch })
            }
            Action::Preempt { job, epoch, mode, .. } => {
                let checkpoint = mode != PreemptMode::Stop;
                self.orders.push(Order::Stop { job: index(&job), epoch, checkpoint });
            }
            Action::Refuse { .. } | Action::StopJob { .. } => self.dropped += 1,
            _ => {}
        }
    }
}

impl Scheduler for Core {
    fn arrive(&mut self, job: usize, now: Millis) {
        self.send(Event::Submit(self.specs[job].clone()), now);
    }

    fn unclaimed(&self, job: usize) -> Option<usize> {
        let prefix = format!("{}/", self.specs[job].claim.as_ref()?);
        let status = self.placer.status();
        let open = |one: &&InstanceStatus| one.name.starts_with(&prefix) && one.claimant.is_none();
        Some(status.instances.iter().filter(open).count())
    }

    fn cancel(&mut self, job: usize, now: Millis) {
        self.send(Event::Cancel { job: format!("j{job}") }, now);
    }

    fn held(&mut self, job: usize, epoch: u64, done: bool, now: Millis) {
        let job = format!("j{job}");
        let Some(status) = self.placer.explain(&job) else { return };
        for (worker, _) in status.members {
            let result = if done { HoldResult::Held } else { HoldResult::Pending };
            self.send(Event::HoldAnswered { job: job.clone(), epoch, worker, result }, now);
        }
    }

    fn started(&mut self, job: usize, epoch: u64, now: Millis) {
        self.send(Event::GangStarted { job: format!("j{job}"), epoch }, now);
    }

    fn ended(&mut self, job: usize, epoch: u64, end: End, progress: Millis, now: Millis) {
        let job = format!("j{job}");
        let progress = Duration::from_millis(progress);
        self.send(Event::Checkpointed { job: job.clone(), epoch, progress }, now);
        let end = match end {
            End::Finished => GangEnd::Finished,
            End::Failed(worker) => GangEnd::Failed { worker: self.agents[worker].clone() },
            End::Stopped => GangEnd::Stopped,
        };
        self.send(Event::GangEnded { job, epoch, end }, now);
    }

    fn worker(&mut self, worker: usize, up: bool, now: Millis) {
        if !up {
            return self.send(Event::WorkerLost { agent: self.agents[worker].clone() }, now);
        }
        self.agents[worker].incarnation += 1;
        let agent = self.agents[worker].clone();
        let (domain, rack) = self.places[worker].clone();
        let joined = Event::WorkerJoined { agent: agent.clone(), domain, rack, accelerators: 8 };
        self.send(joined, now);
        self.send(Event::WorkerReport { agent, report: WorkerReport::default() }, now);
    }

    fn decide(&mut self, now: Millis) -> (Vec<Order>, Option<Millis>) {
        let at = self.at(now);
        for action in self.placer.decide(at) {
            self.take(action);
        }
        let wake = self.placer.next_wake();
        let wake = wake.map(|wake| {
            wake.saturating_duration_since(self.origin).as_nanos().div_ceil(1_000_000) as Millis
        });
        (std::mem::take(&mut self.orders), wake)
    }
}
