//! Cost of one placement decision by size of the pool.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use skylarkpulley_placement::{Action, Event, GangEnd, HoldResult, JobSpec, Placer, WorkerReport};
use skylarkpulley_tables::{Domain, Guarantee, Pool, PoolKind, Team};
use skylarkpulley_types::{AgentId, Locality, Shape};

const POOL_SIZES: [u32; 4] = [11, 100, 1000, 5000];

/// Returns a pool of `workers` workers with 8 accelerators each, in racks of three in five failure
/// domains, with 310 teams. Guarantees cover about a tenth of the workers, and less in large pools.
fn pool(workers: u32) -> Pool {
    let domains = (0..5).map(|domain| {
        let mut remaining = workers / 5 + u32::from(domain < workers % 5);
        let mut racks = Vec::new();
        while remaining > 0 {
            racks.push(remaining.min(3));
            remaining -= remaining.min(3);
        }
        Domain { name: format!("d{domain}"), racks }
    });
    let teams = (0..310).map(|team| Team { name: format!("t{team}"), weight: 1 + team % 4 });
    Pool {
        name: "bench".to_owned(),
        kind: PoolKind::Worker,
        slots: 0,
        connections: 0,
        objective: 0.5,
        cores: 64,
        memory_mib: 262_144,
        accelerators: 8,
        domains: domains.collect(),
        teams: teams.collect(),
        guarantees: vec![
            Guarantee {
                name: "wide".to_owned(),
                team: "t0".to_owned(),
                shape: Shape::new(8, (workers / 20).clamp(1, 128), Locality::Pool),
                count: 1,
            },
            Guarantee {
                name: "one".to_owned(),
                team: "t1".to_owned(),
                shape: Shape::new(8, 1, Locality::Worker),
                count: (workers / 20).clamp(1, 16),
            },
        ],
    }
}

struct LoadedPlacer {
    placer: Placer,
    now: Instant,
    job_count: usize,
}

impl LoadedPlacer {
    /// Returns a placer with all workers and 3.2 running tasks per worker, which are 16,000 tasks
    /// on 5,000 workers.
    fn new(workers: u32) -> Self {
        let pool = pool(workers);
        let now = Instant::now();
        let mut placer = Placer::new(&pool, now).with_seed(1);
        let mut worker_count = 0;
        for domain in &pool.domains {
            for (rack, count) in domain.racks.iter().enumerate() {
                for _ in 0..*count {
                    worker_count += 1;
                    let agent = AgentId::new(&format!("w{worker_count}"), 0);
                    let (domain, rack) = (domain.name.clone(), format!("r{rack}"));
                    let event =
                        Event::WorkerJoined { agent: agent.clone(), domain, rack, accelerators: 8 };
                    placer.handle(event, now);
                    let report = WorkerReport::default();
                    placer.handle(Event::WorkerReport { agent, report }, now);
                }
            }
        }
        let mut loaded = Self { placer, now, job_count: 0 };
        for index in 0..workers as usize * 16 / 5 {
            loaded.job_count += 1;
            let mut spec = JobSpec::new(
                &format!("j{}", loaded.job_count),
                &format!("t{}", index % 310),
                Shape::new(1 + index as u32 % 3, 1, Locality::Worker),
            );
            spec.run_time = Duration::from_secs(3600 + index as u64 % 7200);
            loaded.submit(spec);
        }
        loaded
    }

    fn submit(&mut self, spec: JobSpec) {
        self.placer.handle(Event::Submit(spec), self.now);
        let actions = self.placer.decide(self.now);
        for action in &actions {
            self.start(action);
        }
    }

    fn start(&mut self, action: &Action) {
        let Action::Place { job, epoch, members, .. } = action else { return };
        let (epoch, now) = (*epoch, self.now);
        for member in members {
            let (job, worker) = (job.clone(), member.worker.clone());
            let result = HoldResult::Held;
            self.placer.handle(Event::HoldAnswered { job, epoch, worker, result }, now);
        }
        self.placer.handle(Event::GangStarted { job: job.clone(), epoch }, now);
    }

    /// Submits a job, decides, and cancels the job again, so that the state stays the same. Returns
    /// the time for the submission and the decision.
    fn decide(&mut self, shape: Shape, claim: Option<&str>) -> Duration {
        self.job_count += 1;
        let id = format!("j{}", self.job_count);
        let mut spec = JobSpec::new(&id, if claim.is_some() { "t0" } else { "t2" }, shape);
        spec.claim = claim.map(str::to_owned);
        let start = Instant::now();
        self.placer.handle(Event::Submit(spec), self.now);
        black_box(self.placer.decide(self.now));
        let elapsed = start.elapsed();
        self.placer.handle(Event::Cancel { job: id }, self.now);
        for _ in 0..4 {
            self.placer.decide(self.now);
        }
        elapsed
    }
}

/// Number of jobs that wait in the queue while a gang ends.
const QUEUED_JOBS: usize = 2000;

impl LoadedPlacer {
    /// Fills the queue with jobs of many teams and with many run times.
    fn fill_queue(&mut self) {
        for index in 0..QUEUED_JOBS {
            self.job_count += 1;
            let shape = Shape::new(8, 1 + index as u32 % 3, Locality::Rack);
            let team = format!("t{}", 2 + index % 300);
            let mut spec = JobSpec::new(&format!("q{}", self.job_count), &team, shape);
            spec.run_time = Duration::from_secs(60 + index as u64 * 7 % 7200);
            spec.class = (index % 4) as u8;
            self.submit(spec);
        }
        for _ in 0..QUEUED_JOBS {
            let actions = self.placer.decide(self.now);
            for action in &actions {
                self.start(action);
            }
        }
    }

    /// Ends one small running gang, decides, and starts the gangs that are placed instead. Returns
    /// the time for the end and the decision.
    fn end_gang(&mut self, index: usize) -> Duration {
        let id = format!("j{index}");
        let Some(epoch) = self.placer.explain(&id).map(|job| job.epoch) else {
            return Duration::ZERO;
        };
        let start = Instant::now();
        self.placer.handle(Event::GangEnded { job: id, epoch, end: GangEnd::Finished }, self.now);
        let actions = black_box(self.placer.decide(self.now));
        let elapsed = start.elapsed();
        for action in &actions {
            self.start(action);
        }
        elapsed
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    group.sample_size(20).measurement_time(Duration::from_secs(2));
    for workers in POOL_SIZES {
        let mut loaded = LoadedPlacer::new(workers);
        let gang = (workers / 20).clamp(1, 128);
        let cases = [
            ("small", Shape::new(1, 1, Locality::Worker), None),
            ("rack", Shape::new(2, 2, Locality::Rack), None),
            ("gang", Shape::new(1, gang.max(128.min(workers / 4)), Locality::Pool), None),
            ("blocked", Shape::new(8, workers, Locality::Pool), None),
        ];
        for (name, shape, claim) in cases {
            group.bench_function(BenchmarkId::new(name, workers), |bencher| {
                bencher.iter_custom(|iterations| {
                    (0..iterations).map(|_| loaded.decide(shape, claim)).sum::<Duration>()
                });
            });
        }
        let shape = Shape::new(8, gang, Locality::Pool);
        loaded.fill_queue();
        let mut next_job = 0;
        group.bench_function(BenchmarkId::new("end", workers), |bencher| {
            bencher.iter_custom(|iterations| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..iterations {
                    next_job += 1;
                    if next_job > workers as usize * 2 {
                        next_job = 1;
                        loaded = LoadedPlacer::new(workers);
                        loaded.fill_queue();
                    }
                    elapsed += loaded.end_gang(next_job);
                }
                elapsed
            });
        });
        // A claim changes the state permanently, so each iteration creates a new loaded placer.
        group.sample_size(10).bench_function(BenchmarkId::new("claim", workers), |bencher| {
            bencher.iter_custom(|iterations| {
                let claim_once = |_| LoadedPlacer::new(workers).decide(shape, Some("wide"));
                (0..iterations).map(claim_once).sum::<Duration>()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
