//! Measures the propagation of configuration changes at the target size: bytes of a delta, cost of
//! making and applying it, cost of the digest, and memory of the document.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

use skylarkpulley_config::{
    ApplyOutcome, Delta, Distributor, Document, History, Replica, join_rows, split_rows,
};

const TEAMS: usize = 310;
const ROUTES: usize = 60;
const CHANGES_PER_DAY: f64 = 11_000.0;
const ROUNDS: usize = 200;
const ENTRIES: usize = 12;
const AGENTS: usize = 5_000;

fn main() {
    let routes = routes();
    let texts: Vec<String> = (0..=ROUNDS).map(pools).collect();
    println!("texts: routes.toml {} bytes, pools.toml {} bytes", routes.len(), texts[0].len());

    // Before anything else, so that the allocator has no freed memory to reuse.
    let mut copies: Vec<Document> = Vec::with_capacity(ROUNDS);
    let before = resident();
    for text in &texts[..ROUNDS] {
        copies.push(Document::new(1, split_rows(&routes, text).expect("the sample is valid")));
    }
    println!("memory of a document: {} KiB", (resident() - before) / ROUNDS as u64);

    let begin = Instant::now();
    let documents: Vec<Document> = texts
        .iter()
        .enumerate()
        .map(|(at, text)| {
            let rows = split_rows(&routes, text).expect("the sample is valid");
            Document::new(at as u64 + 1, rows)
        })
        .collect();
    println!("split and digest: {:?} per edit", begin.elapsed() / documents.len() as u32);
    println!("rows: {}", documents[0].rows().len());
    let full = Delta::full(&documents[0]);
    println!("whole document: {} bytes", full.size());

    let begin = Instant::now();
    for document in &documents {
        black_box(Document::new(document.version(), document.rows().clone()));
    }
    println!("digest of the document: {:?}", begin.elapsed() / documents.len() as u32);

    let mut history = History::new(256);
    let mut replica = Replica::new();
    replica.install(documents[0].clone());
    history.install(documents[0].clone());
    let (mut sizes, mut making, mut applying) = (Vec::new(), Duration::ZERO, Duration::ZERO);
    for document in &documents[1..] {
        history.install(document.clone());
        let begin = Instant::now();
        let delta = history.delta_from(replica.document().version()).expect("there is a change");
        making += begin.elapsed();
        sizes.push(delta.size());
        let begin = Instant::now();
        assert_eq!(replica.apply(&delta), ApplyOutcome::Applied);
        applying += begin.elapsed();
    }
    assert_eq!(replica.document(), history.document());
    sizes.sort_unstable();
    let mean = sizes.iter().sum::<usize>() as f64 / sizes.len() as f64;
    println!(
        "delta of one changed quota: mean {mean:.0} bytes, largest {} bytes",
        sizes[sizes.len() - 1]
    );
    println!(
        "bytes per second and node at 11,000 changes a day: {:.1}",
        mean * CHANGES_PER_DAY / 86_400.0
    );
    let begin = Instant::now();
    black_box(join_rows(replica.document().rows()).expect("the rows come from texts"));
    println!("join the rows to texts: {:?}", begin.elapsed());
    println!("make a delta: {:?}", making / ROUNDS as u32);
    println!("apply a delta: {:?}", applying / ROUNDS as u32);
    distribute(&documents[0], &documents[1]);
}

/// Distributes one change from 12 entries that poll the store once a second to 5,000 processes that
/// report to each of them once a second, in simulated time, and prints how often it was sent and
/// when the last process had it.
fn distribute(old: &Document, new: &Document) {
    let (step, second) = (Duration::from_millis(50), Duration::from_secs(1));
    let names: Vec<String> = (0..ENTRIES).map(|at| format!("entry-{at}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let start = Instant::now();
    let mut entries: Vec<Distributor> = Vec::new();
    for name in &names {
        let mut entry = Distributor::new(start, name);
        entry.set_entries(&names);
        entry.install(start, old.clone());
        entries.push(entry);
    }
    let mut first = Replica::new();
    first.install(old.clone());
    let mut agents = vec![first; AGENTS];
    let (mut sends, mut bytes, mut done) = (0, 0, None);
    let mut deciding = Duration::ZERO;
    // The processes are known for 10 s when the change is made.
    for tick in 0..400 {
        let now = start + step * tick;
        let phase =
            |offset: usize, of: usize| (tick as usize + offset * 20 / of).is_multiple_of(20);
        for (at, agent) in agents.iter().enumerate().filter(|(at, _)| phase(*at, AGENTS)) {
            let document = agent.document();
            let name = format!("agent-{at}");
            let begin = Instant::now();
            for entry in &mut entries {
                entry.record_report(now, &name, document.version(), document.digest());
            }
            deciding += begin.elapsed();
        }
        for (at, entry) in entries.iter_mut().enumerate() {
            if tick >= 200 && phase(at, ENTRIES) {
                entry.install(now, new.clone());
            }
            let begin = Instant::now();
            let due = entry.take_due_sends(now, AGENTS);
            deciding += begin.elapsed();
            for (name, delta) in due {
                sends += 1;
                bytes += delta.size();
                let agent: usize = name["agent-".len()..].parse().expect("a number");
                agents[agent].apply(&delta);
            }
        }
        let all = agents.iter().all(|agent| agent.document().version() == new.version());
        if all && done.is_none() {
            done = Some(step * (tick - 200));
        }
    }
    println!(
        "one change from {ENTRIES} entries to {AGENTS} processes: {sends} sends, {bytes} bytes, \
         the last one after {done:?} (simulated)"
    );
    let share = deciding.as_secs_f64() / (second * 20).as_secs_f64() / ENTRIES as f64;
    println!("reports and decisions: {:.2} % of a core per entry", share * 100.0);
}

fn routes() -> String {
    let mut text = String::new();
    for at in 0..ROUTES {
        let pool = at % 5;
        write!(
            text,
            "[[route]]\nname = \"route-{at:02}\"\npath = \"/service-{at:02}\"\npool = \"pool-{pool}\"\n\
             priority = {}\nidempotent = false\ndeadline = \"800ms\"\nqueue = 64\n\
             retry_percent = 10\nbody_limit = \"64KiB\"\n\n",
            at % 10,
        )
        .expect("writing to a string cannot fail");
    }
    text
}

/// Tables in which every team has a quota in the worker pool and a weight in one upstream pool.
/// Each edit changes one team's quota.
fn pools(edit: usize) -> String {
    let mut text = String::new();
    let mut line = |args: std::fmt::Arguments<'_>| {
        text.write_fmt(args).expect("writing to a string cannot fail");
    };
    for pool in 0..5 {
        line(format_args!(
            "[[pool]]\nname = \"pool-{pool}\"\nkind = \"upstream\"\nslots = 8\nconnections = 64\n"
        ));
        for team in (0..TEAMS).filter(|team| team % 5 == pool) {
            line(format_args!("[[pool.team]]\nname = \"team-{team:03}\"\nweight = 4\n"));
        }
    }
    line(format_args!(
        "[[pool]]\nname = \"jobs\"\nkind = \"worker\"\nobjective = 0.5\ncores = 64\n\
         memory = \"256GiB\"\naccelerators = 8\n"
    ));
    for domain in 0..5 {
        let racks = vec!["20"; 50].join(", ");
        line(format_args!("[[pool.domain]]\nname = \"domain-{domain}\"\nracks = [{racks}]\n"));
    }
    for team in 0..TEAMS {
        // The quotas changed by this edit and the earlier ones.
        let workers = 2 + (0..edit).filter(|change| change * 7 % TEAMS == team).count();
        line(format_args!(
            "[[pool.team]]\nname = \"team-{team:03}\"\nweight = 2\n[[pool.guarantee]]\n\
             name = \"team-{team:03}-quota\"\nteam = \"team-{team:03}\"\naccelerators = 8\n\
             workers = {workers}\nlocality = \"rack\"\ncount = 1\n"
        ));
    }
    text
}

/// Returns the resident memory of the process in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}
