//! Measures the propagation of configuration changes at the target size: bytes of a delta, time to
//! make and apply it, time to compute the digest, memory of a document, and the number of sends when
//! 12 entries distribute one change.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

use skylarkpulley_config::{
    ApplyOutcome, Delta, Distributor, Document, History, Replica, join_rows, split_rows,
};

const TEAMS: usize = 310;
const ROUTES: usize = 60;
const CHANGES_PER_DAY: f64 = 11_000.0;
/// Number of edits that are measured.
const EDITS: usize = 200;
const ENTRIES: usize = 12;
const AGENTS: usize = 5_000;

fn main() {
    let routes = routes();
    let texts: Vec<String> = (0..=EDITS).map(pools).collect();
    println!("texts: routes.toml {} bytes, pools.toml {} bytes", routes.len(), texts[0].len());

    // Memory is measured first, so that the allocator has no freed memory to reuse.
    let mut copies: Vec<Document> = Vec::with_capacity(EDITS);
    let resident_before = resident_kib();
    for text in &texts[..EDITS] {
        copies.push(Document::new(1, split_rows(&routes, text).expect("the sample is valid")));
    }
    println!("memory of a document: {} KiB", (resident_kib() - resident_before) / EDITS as u64);

    let started_at = Instant::now();
    let documents: Vec<Document> = texts
        .iter()
        .enumerate()
        .map(|(index, text)| {
            let rows = split_rows(&routes, text).expect("the sample is valid");
            Document::new(index as u64 + 1, rows)
        })
        .collect();
    println!("split and digest: {:?} per edit", started_at.elapsed() / documents.len() as u32);
    println!("rows: {}", documents[0].rows().len());
    let full = Delta::full(&documents[0]);
    println!("whole document: {} bytes", full.size());

    let started_at = Instant::now();
    for document in &documents {
        black_box(Document::new(document.version(), document.rows().clone()));
    }
    println!("digest of the document: {:?}", started_at.elapsed() / documents.len() as u32);

    let mut history = History::new(256);
    let mut replica = Replica::new();
    replica.install(documents[0].clone());
    history.install(documents[0].clone());
    let (mut sizes, mut make_time, mut apply_time) = (Vec::new(), Duration::ZERO, Duration::ZERO);
    for document in &documents[1..] {
        history.install(document.clone());
        let started_at = Instant::now();
        let delta =
            history.delta_from(replica.document().version()).expect("each edit changes a quota");
        make_time += started_at.elapsed();
        sizes.push(delta.size());
        let started_at = Instant::now();
        assert_eq!(replica.apply(&delta), ApplyOutcome::Applied);
        apply_time += started_at.elapsed();
    }
    assert_eq!(replica.document(), history.document());
    sizes.sort_unstable();
    let mean = sizes.iter().sum::<usize>() as f64 / sizes.len() as f64;
    println!(
        "delta of one changed quota: mean {mean:.0} bytes, largest {} bytes",
        sizes[sizes.len() - 1]
    );
    println!(
        "bytes per second and node at 11,000 changes per day: {:.1}",
        mean * CHANGES_PER_DAY / 86_400.0
    );
    let started_at = Instant::now();
    black_box(join_rows(replica.document().rows()).expect("the rows were split from valid texts"));
    println!("join the rows to texts: {:?}", started_at.elapsed());
    println!("make a delta: {:?}", make_time / EDITS as u32);
    println!("apply a delta: {:?}", apply_time / EDITS as u32);
    distribute(&documents[0], &documents[1]);
}

/// Distributes one change in simulated time from 12 entries that poll the store once per second to
/// 5,000 processes that report to each entry once per second. Prints how often the change was sent
/// and when the last process had received it.
fn distribute(old: &Document, new: &Document) {
    let (step, second) = (Duration::from_millis(50), Duration::from_secs(1));
    let names: Vec<String> = (0..ENTRIES).map(|index| format!("entry-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let start = Instant::now();
    let mut entries: Vec<Distributor> = Vec::new();
    for name in &names {
        let mut entry = Distributor::new(start, name);
        entry.set_entries(&names);
        entry.install(start, old.clone());
        entries.push(entry);
    }
    let mut replica = Replica::new();
    replica.install(old.clone());
    let mut agents = vec![replica; AGENTS];
    let (mut sends, mut bytes, mut completed_after) = (0, 0, None);
    let mut decision_time = Duration::ZERO;
    // The processes have reported for 10 s (200 ticks) when the change is made.
    for tick in 0..400 {
        let now = start + step * tick;
        let is_turn =
            |index: usize, count: usize| (tick as usize + index * 20 / count).is_multiple_of(20);
        for (index, agent) in agents.iter().enumerate().filter(|(index, _)| is_turn(*index, AGENTS))
        {
            let document = agent.document();
            let name = format!("agent-{index}");
            let started_at = Instant::now();
            for entry in &mut entries {
                entry.record_report(now, &name, document.version(), document.digest());
            }
            decision_time += started_at.elapsed();
        }
        for (index, entry) in entries.iter_mut().enumerate() {
            if tick >= 200 && is_turn(index, ENTRIES) {
                entry.install(now, new.clone());
            }
            let started_at = Instant::now();
            let due_sends = entry.take_due_sends(now, AGENTS);
            decision_time += started_at.elapsed();
            for (name, delta) in due_sends {
                sends += 1;
                bytes += delta.size();
                let agent: usize = name["agent-".len()..]
                    .parse()
                    .expect("the name ends with the index of the agent");
                agents[agent].apply(&delta);
            }
        }
        let all_updated = agents.iter().all(|agent| agent.document().version() == new.version());
        if all_updated && completed_after.is_none() {
            completed_after = Some(step * (tick - 200));
        }
    }
    println!(
        "one change from {ENTRIES} entries to {AGENTS} processes: {sends} sends, {bytes} bytes, \
         the last process received it after {completed_after:?} (simulated)"
    );
    let share = decision_time.as_secs_f64() / (second * 20).as_secs_f64() / ENTRIES as f64;
    println!("handling of reports and decisions: {:.2} % of a core per entry", share * 100.0);
}

fn routes() -> String {
    let mut text = String::new();
    for route in 0..ROUTES {
        let pool = route % 5;
        write!(
            text,
            "[[route]]\nname = \"route-{route:02}\"\npath = \"/service-{route:02}\"\npool = \"pool-{pool}\"\n\
             priority = {}\nidempotent = false\ndeadline = \"800ms\"\nqueue = 64\n\
             retry_percent = 10\nbody_limit = \"64KiB\"\n\n",
            route % 10,
        )
        .expect("writing to a string cannot fail");
    }
    text
}

/// Returns pools.toml after `edit` edits. Every team has a quota in the worker pool and a weight in
/// one upstream pool; each edit changes the quota of one team.
fn pools(edit: usize) -> String {
    let mut text = String::new();
    let mut append = |args: std::fmt::Arguments<'_>| {
        text.write_fmt(args).expect("writing to a string cannot fail");
    };
    for pool in 0..5 {
        append(format_args!(
            "[[pool]]\nname = \"pool-{pool}\"\nkind = \"upstream\"\nslots = 8\nconnections = 64\n"
        ));
        for team in (0..TEAMS).filter(|team| team % 5 == pool) {
            append(format_args!("[[pool.team]]\nname = \"team-{team:03}\"\nweight = 4\n"));
        }
    }
    append(format_args!(
        "[[pool]]\nname = \"jobs\"\nkind = \"worker\"\nobjective = 0.5\ncores = 64\n\
         memory = \"256GiB\"\naccelerators = 8\n"
    ));
    for domain in 0..5 {
        let racks = vec!["20"; 50].join(", ");
        append(format_args!("[[pool.domain]]\nname = \"domain-{domain}\"\nracks = [{racks}]\n"));
    }
    for team in 0..TEAMS {
        // Counts the edits so far that changed the quota of the team.
        let workers = 2 + (0..edit).filter(|earlier_edit| earlier_edit * 7 % TEAMS == team).count();
        append(format_args!(
            "[[pool.team]]\nname = \"team-{team:03}\"\nweight = 2\n[[pool.guarantee]]\n\
             name = \"team-{team:03}-quota\"\nteam = \"team-{team:03}\"\naccelerators = 8\n\
             workers = {workers}\nlocality = \"rack\"\ncount = 1\n"
        ));
    }
    text
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}
