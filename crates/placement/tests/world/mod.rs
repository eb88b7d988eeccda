//! A placer with simulated agents, and the invariants that are checked after every event.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_placement::*;
use skylarkpulley_tables::{Domain, Guarantee, Pool, PoolKind, Team};
use skylarkpulley_types::{AgentId, Locality, Shape};

/// Returns a pool of the teams "a" and "b" without guarantees. `racks` lists the workers per rack
/// for each domain.
pub fn pool(accelerators: u32, racks: &[&[u32]]) -> Pool {
    let domain =
        |(ix, racks): (usize, &&[u32])| Domain { name: format!("d{ix}"), racks: racks.to_vec() };
    let team = |name: &str| Team { name: name.to_owned(), weight: 1 };
    Pool {
        name: "p".to_owned(),
        kind: PoolKind::Worker,
        slots: 0,
        connections: 0,
        objective: 0.5,
        cores: 64,
        memory_mib: 262_144,
        accelerators,
        domains: racks.iter().enumerate().map(domain).collect(),
        teams: vec![team("a"), team("b")],
        guarantees: Vec::new(),
    }
}

pub fn shape(accelerators: u32, workers: u32, locality: Locality) -> Shape {
    Shape::new(accelerators, workers, locality)
}

pub fn with_guarantee(mut pool: Pool, name: &str, team: &str, shape: Shape, count: u32) -> Pool {
    let (name, team) = (name.to_owned(), team.to_owned());
    pool.guarantees.push(Guarantee { name, team, shape, count });
    pool
}

pub fn job(id: &str, team: &str, accelerators: u32, workers: u32) -> JobSpec {
    JobSpec {
        run_time: Duration::from_secs(600),
        ..JobSpec::new(id, team, shape(accelerators, workers, Locality::Pool))
    }
}

pub struct World {
    pub placer: Placer,
    pub pool: Pool,
    pub now: Instant,
    /// Agents with their domain and rack.
    pub agents: Vec<(AgentId, String, String)>,
    pub specs: BTreeMap<String, JobSpec>,
    /// Epoch of the latest placement of each job.
    pub epochs: BTreeMap<String, u64>,
    /// Grants and holds of each agent.
    pub grants: BTreeMap<AgentId, Vec<ReportedGrant>>,
    /// Times of the evictions of each job within the last hour.
    pub preempted: BTreeMap<String, Vec<Instant>>,
    /// Job and epoch of gangs that were asked to stop, with the time at which their lease lapses.
    pub stopping: Vec<(Instant, String, u64)>,
    pub log: Vec<Action>,
    /// All described workers have joined once. The placer decides nothing before that, so the
    /// invariants are not checked.
    pub ready: bool,
}

impl World {
    /// Starts a placer and lets every described worker join and report.
    pub fn new(pool: Pool) -> Self {
        let now = Instant::now();
        let placer = Placer::new(&pool, now).with_seed(7);
        let mut world = Self {
            placer,
            pool: pool.clone(),
            now,
            agents: Vec::new(),
            specs: BTreeMap::new(),
            epochs: BTreeMap::new(),
            grants: BTreeMap::new(),
            preempted: BTreeMap::new(),
            stopping: Vec::new(),
            log: Vec::new(),
            ready: false,
        };
        for domain in &pool.domains {
            for (rack, count) in domain.racks.iter().enumerate() {
                for number in 0..*count {
                    let name = format!("{}-r{rack}-w{number}", domain.name);
                    let rack = format!("{}-r{rack}", domain.name);
                    world.agents.push((AgentId::new(&name, 1), domain.name.clone(), rack));
                }
            }
        }
        for ix in 0..world.agents.len() {
            world.ready = ix + 1 == world.agents.len();
            world.join_worker(ix);
        }
        world
    }

    pub fn join_worker(&mut self, ix: usize) -> Vec<Action> {
        let (agent, domain, rack) = self.agents[ix].clone();
        let accelerators = self.pool.accelerators;
        self.grants.insert(agent.clone(), Vec::new());
        let event = Event::WorkerJoined { agent: agent.clone(), domain, rack, accelerators };
        self.placer.handle(event, self.now);
        let report = WorkerReport::default();
        self.send(Event::WorkerReport { agent, report })
    }

    pub fn lose_worker(&mut self, ix: usize) -> Vec<Action> {
        let agent = self.agents[ix].0.clone();
        self.grants.remove(&agent);
        self.agents[ix].0.incarnation += 1;
        self.send(Event::WorkerLost { agent })
    }

    /// Passes one event to the placer, carries out the resulting actions and checks the invariants.
    pub fn send(&mut self, event: Event) -> Vec<Action> {
        if let Event::Submit(spec) = &event {
            self.specs.entry(spec.id.clone()).or_insert_with(|| spec.clone());
        }
        if let Event::GangEnded { job, epoch, .. } = &event {
            self.remove_grants(job, *epoch);
        }
        self.placer.handle(event, self.now);
        self.decide()
    }

    pub fn decide(&mut self) -> Vec<Action> {
        let mut all = Vec::new();
        let now = self.now;
        let lapsed: Vec<_> = self.stopping.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, job, epoch) in lapsed {
            self.remove_grants(&job, epoch);
        }
        for _ in 0..100 {
            let actions = self.placer.decide(self.now);
            for action in &actions {
                self.apply(action);
            }
            all.extend(actions);
            if self.ready {
                self.check();
            }
            if self.placer.next_wake().is_none_or(|wake| wake > self.now) {
                self.log.extend(all.clone());
                return all;
            }
        }
        panic!("the placer still has actions to return after 100 decisions");
    }

    pub fn advance(&mut self, step: Duration) -> Vec<Action> {
        let end = self.now + step;
        let mut all = Vec::new();
        while let Some(wake) = self.placer.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            all.extend(self.decide());
        }
        self.now = end;
        all.extend(self.decide());
        all
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Place { job, epoch, members, instance, .. } => {
                let previous = self.epochs.insert(job.clone(), *epoch);
                assert!(
                    previous.is_none_or(|previous| previous < *epoch),
                    "a new placement of {job} has no higher epoch than the previous one"
                );
                for member in members {
                    let Some(grants) = self.grants.get_mut(&member.worker) else { continue };
                    grants.push(ReportedGrant {
                        job: job.clone(),
                        epoch: *epoch,
                        accelerators: member.accelerators,
                        instance: instance.clone(),
                        preemptible: self.specs[job].preemption != Preemption::Never,
                        ..ReportedGrant::default()
                    });
                }
            }
            Action::Release { job, epoch, .. } => self.remove_grants(job, *epoch),
            Action::Preempt { job, epoch, reason, .. } => {
                // Sum of the grace period, the lease and one second of delay.
                let lapse = self.now + Duration::from_secs(5);
                self.stopping.push((lapse, job.clone(), *epoch));
                if !reason.starts_with("evicted to free capacity") && !reason.starts_with("moved") {
                    return;
                }
                let spec = &self.specs[job];
                assert_ne!(spec.preemption, Preemption::Never, "{job} was evicted");
                let times = self.preempted.entry(job.clone()).or_default();
                times.push(self.now);
                let hour = Duration::from_secs(3600);
                times.retain(|at| self.now - *at < hour);
                assert!(times.len() <= 3, "{job} was preempted {} times", times.len());
            }
            _ => {}
        }
    }

    fn remove_grants(&mut self, job: &str, epoch: u64) {
        for grants in self.grants.values_mut() {
            grants.retain(|grant| grant.job != job || grant.epoch != epoch);
        }
    }

    pub fn submit(&mut self, spec: JobSpec) -> Vec<Action> {
        self.send(Event::Submit(spec))
    }

    pub fn answer_hold(&mut self, job: &str, worker: &AgentId, result: HoldResult) -> Vec<Action> {
        let (job, epoch, worker) = (job.to_owned(), self.epochs[job], worker.clone());
        self.send(Event::HoldAnswered { job, epoch, worker, result })
    }

    /// Answers all holds of the job, if it has any, and reports the gang as started.
    pub fn run_gang(&mut self, job: &str) -> Vec<Action> {
        let mut actions = Vec::new();
        for (agent, _) in self.status(job).members {
            actions.extend(self.answer_hold(job, &agent, HoldResult::Held));
        }
        let Some(epoch) = self.epochs.get(job).copied() else { return actions };
        actions.extend(self.send(Event::GangStarted { job: job.to_owned(), epoch }));
        actions
    }

    pub fn submit_and_run(&mut self, spec: JobSpec) {
        let id = spec.id.clone();
        self.submit(spec);
        self.run_gang(&id);
        assert_eq!(self.state(&id), "running");
    }

    /// Waits until the backoff of the job has ended, then runs its gang.
    pub fn run_after_backoff(&mut self, job: &str) {
        for _ in 0..3000 {
            if self.state(job) == "holding" {
                break;
            }
            self.advance(Duration::from_millis(20));
        }
        self.run_gang(job);
    }

    pub fn end_gang(&mut self, job: &str, end: GangEnd) -> Vec<Action> {
        let epoch = self.epochs[job];
        self.send(Event::GangEnded { job: job.to_owned(), epoch, end })
    }

    pub fn status(&self, job: &str) -> JobStatus {
        self.placer.explain(job).unwrap_or_else(|| panic!("the placer has no job {job}"))
    }

    pub fn state(&self, job: &str) -> &'static str {
        self.placer.explain(job).map_or("gone", |status| status.state)
    }

    pub fn workers_of(&self, job: &str) -> Vec<String> {
        self.status(job).members.into_iter().map(|(agent, _)| agent.name).collect()
    }

    /// Checks that no accelerator is granted twice, that no gang is placed only in part, and that
    /// every unclaimed instance has a valid reservation unless no set of workers has the capacity
    /// for it.
    pub fn check(&self) {
        let status = self.placer.status();
        let mut used: BTreeMap<&AgentId, u32> = BTreeMap::new();
        for job in &status.jobs {
            let active = matches!(job.state, "holding" | "committing" | "running");
            if active {
                assert_eq!(
                    job.members.len(),
                    job.shape.workers as usize,
                    "{job:?} is placed only in part"
                );
            }
            let agents: Vec<&AgentId> = job.members.iter().map(|(agent, _)| agent).collect();
            if active {
                self.check_locality(&status, &agents, job.shape);
                for (agent, count) in &job.members {
                    *used.entry(agent).or_default() += count;
                }
            }
            let spec = self.specs.get(&job.id);
            if active && spec.is_some_and(|spec| spec.preemption == Preemption::Never) {
                assert!(job.non_preemptible, "{} is non-preemptible but could be evicted", job.id);
            }
        }
        for worker in &status.workers {
            let used = used.get(&worker.agent).copied().unwrap_or(0);
            assert!(
                used <= worker.accelerators,
                "accelerators of {} are granted twice",
                worker.agent
            );
            let committed = worker.non_preemptible + worker.reserved;
            assert!(
                committed <= worker.accelerators,
                "accelerators of {} are overcommitted: {status:#?}",
                worker.agent
            );
        }
        let unclaimed = || status.instances.iter().filter(|instance| instance.claimant.is_none());
        for instance in unclaimed().filter(|instance| !instance.at_risk) {
            let agents: Vec<&AgentId> = instance.members.iter().collect();
            assert_eq!(agents.len(), instance.shape.workers as usize, "{status:#?}");
            self.check_locality(&status, &agents, instance.shape);
        }
        self.check_risks(&status);
    }

    fn check_locality(&self, status: &Status, agents: &[&AgentId], shape: Shape) {
        let workers: Vec<&WorkerStatus> = agents
            .iter()
            .map(|agent| status.workers.iter().find(|worker| worker.agent == **agent).unwrap())
            .collect();
        let mut names: Vec<&AgentId> = agents.to_vec();
        names.sort();
        names.dedup();
        assert_eq!(names.len(), agents.len(), "one worker has two members");
        for worker in &workers {
            let is_local = match shape.locality {
                Locality::Rack => {
                    worker.rack == workers[0].rack && worker.domain == workers[0].domain
                }
                Locality::Domain => worker.domain == workers[0].domain,
                _ => true,
            };
            assert!(is_local, "the members of {shape} violate its locality");
        }
    }

    /// Checks with an exhaustive search over all sets of workers that an instance without a
    /// reservation does not fit.
    fn check_risks(&self, status: &Status) {
        if status.workers.len() > 8 {
            return;
        }
        let unclaimed: Vec<&InstanceStatus> =
            status.instances.iter().filter(|instance| instance.claimant.is_none()).collect();
        let Some(first) = unclaimed.iter().find(|instance| instance.at_risk) else { return };
        let mut shapes: Vec<Shape> = unclaimed
            .iter()
            .filter(|instance| !instance.at_risk)
            .map(|instance| instance.shape)
            .collect();
        shapes.push(first.shape);
        let reserved = |worker: &WorkerStatus| -> u32 {
            let holds = |instance: &&&InstanceStatus| instance.members.contains(&worker.agent);
            unclaimed.iter().filter(holds).map(|instance| instance.shape.accelerators).sum()
        };
        let mut capacity: Vec<(&WorkerStatus, u32)> = status
            .workers
            .iter()
            .filter(|worker| worker.reported && !worker.draining && !worker.quarantined)
            .map(|worker| {
                let claimed = worker.reserved - reserved(worker);
                (worker, worker.accelerators - worker.non_preemptible - claimed)
            })
            .collect();
        assert!(
            !fits_exhaustively(&mut capacity, &shapes),
            "{} fits but has no reservation",
            first.name
        );
    }
}

/// Reports whether all shapes fit together, by trying all sets of workers for each of them.
fn fits_exhaustively(capacity: &mut [(&WorkerStatus, u32)], shapes: &[Shape]) -> bool {
    let Some((shape, rest)) = shapes.split_first() else { return true };
    for set in 0_u32..1 << capacity.len() {
        let selected: Vec<usize> = (0..capacity.len()).filter(|ix| set >> ix & 1 == 1).collect();
        let is_local = |ix: &usize| match shape.locality {
            Locality::Rack => {
                capacity[*ix].0.rack == capacity[selected[0]].0.rack
                    && capacity[*ix].0.domain == capacity[selected[0]].0.domain
            }
            Locality::Domain => capacity[*ix].0.domain == capacity[selected[0]].0.domain,
            _ => true,
        };
        let fits = |ix: &usize| capacity[*ix].1 >= shape.accelerators && is_local(ix);
        if selected.len() != shape.workers as usize || !selected.iter().all(fits) {
            continue;
        }
        for ix in &selected {
            capacity[*ix].1 -= shape.accelerators;
        }
        let all_fit = fits_exhaustively(capacity, rest);
        for ix in &selected {
            capacity[*ix].1 += shape.accelerators;
        }
        if all_fit {
            return true;
        }
    }
    false
}
