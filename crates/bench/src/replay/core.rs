use std::time::{Duration, Instant};

use skylarkpulley_placement::{
    Action, Event, GangEnd, HoldResult, InstanceStatus, JobSpec, Placer, PreemptMode, WorkerReport,
};
use skylarkpulley_tables::Pool;
use skylarkpulley_types::AgentId;

use super::physical::{EndKind, Order, Scheduler};
use super::{EventList, Millis};

/// The placer of `skylarkpulley-placement` as the scheduler of a replay.
pub struct Core {
    placer: Placer,
    origin: Instant,
    agents: Vec<AgentId>,
    /// Failure domain and rack of each worker.
    locations: Vec<(String, String)>,
    specs: Vec<JobSpec>,
    orders: Vec<Order>,
    /// Number of jobs that the placer refused, or stopped after repeated failures.
    pub dropped: usize,
}

impl Core {
    /// Returns a placer that all workers of the pool have joined and reported to.
    pub fn new(pool: &Pool, list: &EventList, seed: u64) -> Self {
        let origin = Instant::now();
        let mut core = Self {
            placer: Placer::new(pool, origin).with_seed(seed),
            origin,
            agents: Vec::new(),
            locations: Vec::new(),
            specs: Vec::new(),
            orders: Vec::new(),
            dropped: 0,
        };
        for domain in &pool.domains {
            for (rack, count) in domain.racks.iter().enumerate() {
                for _ in 0..*count {
                    let ix = core.agents.len();
                    core.agents.push(AgentId::new(&format!("w{ix}"), 0));
                    core.locations.push((domain.name.clone(), format!("{}-{rack}", domain.name)));
                    core.on_worker_change(ix, true, 0);
                }
            }
        }
        for (ix, job) in list.jobs.iter().enumerate() {
            let mut spec = JobSpec::new(&format!("j{ix}"), &format!("t{}", job.team), job.shape);
            spec.kind = format!("k{}", job.kind);
            spec.class = job.class;
            spec.run_time = Duration::from_millis(job.declared_duration);
            spec.preemption = job.preemption;
            spec.claim = job.claim.map(str::to_owned);
            spec.urgent = job.claim.is_some();
            core.specs.push(spec);
        }
        core
    }

    fn instant(&self, now: Millis) -> Instant {
        self.origin + Duration::from_millis(now)
    }

    fn handle_event(&mut self, event: Event, now: Millis) {
        self.placer.handle(event, self.instant(now));
    }

    fn handle_action(&mut self, action: Action) {
        let job_index = |job: &str| job[1..].parse().expect("job ids have the form j<number>");
        match action {
            Action::Place { job, epoch, members, .. } => {
                let worker = |agent: &AgentId| {
                    agent.name[1..].parse().expect("worker names have the form w<number>")
                };
                let workers = members.iter().map(|member| worker(&member.worker)).collect();
                self.orders.push(Order::Start { job: job_index(&job), epoch, workers });
            }
            Action::Release { job, epoch, .. } => {
                self.orders.push(Order::Release { job: job_index(&job), epoch })
            }
            Action::Preempt { job, epoch, mode, .. } => {
                let checkpoint = mode != PreemptMode::Stop;
                self.orders.push(Order::Stop { job: job_index(&job), epoch, checkpoint });
            }
            Action::Refuse { .. } | Action::StopJob { .. } => self.dropped += 1,
            _ => {}
        }
    }
}

impl Scheduler for Core {
    fn on_arrival(&mut self, job: usize, now: Millis) {
        self.handle_event(Event::Submit(self.specs[job].clone()), now);
    }

    fn unclaimed_instances(&self, job: usize) -> Option<usize> {
        let prefix = format!("{}/", self.specs[job].claim.as_ref()?);
        let status = self.placer.status();
        let is_unclaimed = |instance: &&InstanceStatus| {
            instance.name.starts_with(&prefix) && instance.claimant.is_none()
        };
        Some(status.instances.iter().filter(is_unclaimed).count())
    }

    fn on_cancel(&mut self, job: usize, now: Millis) {
        self.handle_event(Event::Cancel { job: format!("j{job}") }, now);
    }

    fn on_hold_result(&mut self, job: usize, epoch: u64, complete: bool, now: Millis) {
        let job = format!("j{job}");
        let Some(status) = self.placer.explain(&job) else { return };
        for (worker, _) in status.members {
            let result = if complete { HoldResult::Held } else { HoldResult::Pending };
            self.handle_event(Event::HoldAnswered { job: job.clone(), epoch, worker, result }, now);
        }
    }

    fn on_start(&mut self, job: usize, epoch: u64, now: Millis) {
        self.handle_event(Event::GangStarted { job: format!("j{job}"), epoch }, now);
    }

    fn on_end(&mut self, job: usize, epoch: u64, end: EndKind, progress: Millis, now: Millis) {
        let job = format!("j{job}");
        let progress = Duration::from_millis(progress);
        self.handle_event(Event::Checkpointed { job: job.clone(), epoch, progress }, now);
        let end = match end {
            EndKind::Finished => GangEnd::Finished,
            EndKind::Failed(worker) => GangEnd::Failed { worker: self.agents[worker].clone() },
            EndKind::Stopped => GangEnd::Stopped,
        };
        self.handle_event(Event::GangEnded { job, epoch, end }, now);
    }

    fn on_worker_change(&mut self, worker: usize, up: bool, now: Millis) {
        if !up {
            return self
                .handle_event(Event::WorkerLost { agent: self.agents[worker].clone() }, now);
        }
        self.agents[worker].incarnation += 1;
        let agent = self.agents[worker].clone();
        let (domain, rack) = self.locations[worker].clone();
        let joined = Event::WorkerJoined { agent: agent.clone(), domain, rack, accelerators: 8 };
        self.handle_event(joined, now);
        self.handle_event(Event::WorkerReport { agent, report: WorkerReport::default() }, now);
    }

    fn decide(&mut self, now: Millis) -> (Vec<Order>, Option<Millis>) {
        let instant = self.instant(now);
        for action in self.placer.decide(instant) {
            self.handle_action(action);
        }
        let wake = self.placer.next_wake();
        let wake = wake.map(|wake| {
            wake.saturating_duration_since(self.origin).as_nanos().div_ceil(1_000_000) as Millis
        });
        (std::mem::take(&mut self.orders), wake)
    }
}
