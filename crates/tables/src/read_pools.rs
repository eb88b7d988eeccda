use skylarkpulley_types::{Locality, Shape};
use toml::de::DeTable;

use crate::document::Document;
use crate::limits::{
    ACCELERATORS, CONNECTIONS, CORES, COUNT, GANG_WORKERS, INSTANCES, MEMORY, OBJECTIVE,
    POOL_WORKERS, RACK_WORKERS, SLOTS, WEIGHT,
};
use crate::rule;
use crate::section::Section;
use crate::unique::Unique;
use crate::{Domain, Fault, Guarantee, Pool, PoolKind, Team};

const UPSTREAM_KEYS: [&str; 5] = ["connections", "kind", "name", "slots", "team"];
const WORKER_KEYS: [&str; 9] =
    ["accelerators", "cores", "domain", "guarantee", "kind", "memory", "name", "objective", "team"];
const GUARANTEE_KEYS: [&str; 6] = ["accelerators", "count", "locality", "name", "team", "workers"];
const LOCALITIES: [Locality; 4] =
    [Locality::Worker, Locality::Rack, Locality::Domain, Locality::Pool];
const KINDS: [PoolKind; 2] = [PoolKind::Upstream, PoolKind::Worker];

/// A pool without faults of its own, and the places that faults of its shapes refer to.
pub(crate) struct ReadPool {
    pub(crate) pool: Pool,
    /// For each guarantee of the pool, the places of its header and of its count.
    pub(crate) spots: Vec<(Fault, Fault)>,
}

/// Reads the pools table. Also returns the names of all pools, with and without faults.
pub(crate) fn read_pools(document: &Document) -> (Vec<ReadPool>, Vec<String>) {
    let (table, _) = DeTable::parse_recoverable(document.text());
    let root = Section::root(document, &table);
    root.reject_unknown(&["pool"]);
    let sections = root.sections("pool");
    if sections.is_empty() && document.fault_count() == 0 {
        root.report_missing("pool", "the table is empty; at least one [[pool]] must be present");
    }
    let mut unique = Unique::new(document, "name");
    let mut pools = Vec::new();
    let mut names = Vec::new();
    for section in &sections {
        let before = document.fault_count();
        let name = section.required("name", &rule::name());
        unique.check(section, name.as_ref());
        names.extend(name.clone());
        let pool = match section.required("kind", &rule::choice(&KINDS)) {
            Some(PoolKind::Upstream) => read_upstreams(document, section, name),
            Some(PoolKind::Worker) => read_workers(document, section, name),
            // The other fields show which kind is meant, so that their faults are found as well.
            None if section.has("slots") || section.has("connections") => {
                read_upstreams(document, section, name)
            }
            None => read_workers(document, section, name),
        };
        if document.fault_count() == before {
            pools.extend(pool);
        }
    }
    (pools, names)
}

fn read_upstreams(
    document: &Document,
    section: &Section<'_>,
    name: Option<String>,
) -> Option<ReadPool> {
    section.reject_unknown(&UPSTREAM_KEYS);
    let slots = section.required("slots", &rule::integer::<u32>(SLOTS));
    let connections = section.required("connections", &rule::integer::<u32>(CONNECTIONS));
    if slots.zip(connections).is_some_and(|(slots, connections)| connections < slots) {
        document.report(section.spot("connections"), "must be at least the number of slots");
    }
    let pool = Pool {
        name: name?,
        kind: PoolKind::Upstream,
        slots: slots?,
        connections: connections?,
        objective: 0.0,
        cores: 0,
        memory_mib: 0,
        accelerators: 0,
        domains: Vec::new(),
        teams: read_teams(document, section),
        guarantees: Vec::new(),
    };
    Some(ReadPool { pool, spots: Vec::new() })
}

fn read_workers(
    document: &Document,
    section: &Section<'_>,
    name: Option<String>,
) -> Option<ReadPool> {
    section.reject_unknown(&WORKER_KEYS);
    let objective = section.required("objective", &rule::number(OBJECTIVE));
    let cores = section.required("cores", &rule::integer(CORES));
    let memory = section.required("memory", &rule::mebibytes(MEMORY, "256GiB"));
    let accelerators = section.required("accelerators", &rule::integer(ACCELERATORS));
    let domains = read_domains(document, section);
    let teams = read_teams(document, section);
    let most = accelerators.unwrap_or(*ACCELERATORS.end() as u32);
    let mut guarantees = read_guarantees(document, section, &teams, most);
    guarantees.sort_by(|(a, ..), (b, ..)| a.name.cmp(&b.name));
    let spots = guarantees.iter().map(|(_, header, count)| (header.clone(), count.clone()));
    let pool = Pool {
        name: name?,
        kind: PoolKind::Worker,
        slots: 0,
        connections: 0,
        objective: objective?,
        cores: cores?,
        memory_mib: memory?,
        accelerators: accelerators?,
        domains,
        teams,
        guarantees: guarantees.iter().map(|(guarantee, ..)| guarantee.clone()).collect(),
    };
    Some(ReadPool { pool, spots: spots.collect() })
}

fn read_domains(document: &Document, section: &Section<'_>) -> Vec<Domain> {
    let sections = section.sections("domain");
    if sections.is_empty() {
        section.report_missing("domain", "at least one [[pool.domain]] must be present");
    }
    let mut unique = Unique::new(document, "name");
    let mut domains = Vec::new();
    for section in &sections {
        section.reject_unknown(&["name", "racks"]);
        let name = section.required("name", &rule::name());
        unique.check(section, name.as_ref());
        let racks = section.list("racks", &rule::integer(RACK_WORKERS));
        domains.extend(name.map(|name| Domain { name, racks }));
    }
    let workers: u64 =
        domains.iter().flat_map(|domain| &domain.racks).copied().map(u64::from).sum();
    if workers > POOL_WORKERS {
        let spot = Fault { value: workers.to_string(), ..section.spot("domain") };
        document.report(spot, &format!("a pool must have at most {POOL_WORKERS} workers"));
    }
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    domains
}

fn read_teams(document: &Document, section: &Section<'_>) -> Vec<Team> {
    let sections = section.sections("team");
    if sections.is_empty() {
        section.report_missing("team", "at least one [[pool.team]] must be present");
    }
    let mut unique = Unique::new(document, "name");
    let mut teams = Vec::new();
    for section in &sections {
        section.reject_unknown(&["name", "weight"]);
        let name = section.required("name", &rule::name());
        unique.check(section, name.as_ref());
        let weight = section.required("weight", &rule::integer(WEIGHT));
        // A team with a faulty weight still counts as a team of the pool.
        teams.extend(name.map(|name| Team { name, weight: weight.unwrap_or(1) }));
    }
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    teams
}

/// Returns each guarantee with the places of its header and of its count.
fn read_guarantees(
    document: &Document,
    section: &Section<'_>,
    teams: &[Team],
    most: u32,
) -> Vec<(Guarantee, Fault, Fault)> {
    let mut unique = Unique::new(document, "name");
    let mut guarantees = Vec::new();
    let mut instances = 0;
    for section in section.sections("guarantee") {
        section.reject_unknown(&GUARANTEE_KEYS);
        let name = section.required("name", &rule::name());
        unique.check(&section, name.as_ref());
        let team = section.required("team", &rule::name());
        if let Some(team) = &team
            && !teams.iter().any(|candidate| candidate.name == *team)
        {
            let names: Vec<_> = teams.iter().map(|team| team.name.as_str()).collect();
            document.report(
                section.spot("team"),
                &format!("must be a team of the pool: {}", listed(&names)),
            );
        }
        let per_worker = rule::integer(*ACCELERATORS.start()..=most.into());
        let accelerators = section.required("accelerators", &per_worker);
        let workers = section.required("workers", &rule::integer(GANG_WORKERS));
        let locality = section.required("locality", &rule::choice(&LOCALITIES));
        let count = section.required("count", &rule::integer(COUNT));
        guarantees.extend(|| -> Option<_> {
            let shape = Shape::new(accelerators?, workers?, locality?);
            let guarantee = Guarantee { name: name?, team: team?, shape, count: count? };
            instances += u64::from(guarantee.count);
            if instances > INSTANCES {
                let allowed = format!("a pool must guarantee at most {INSTANCES} instances in all");
                document.report(section.spot("count"), &allowed);
            }
            Some((guarantee, section.header_spot(), section.spot("count")))
        }());
    }
    guarantees
}

/// Writes the first of `names`.
pub(crate) fn listed(names: &[&str]) -> String {
    const SHOWN: usize = 10;
    let list = names[..names.len().min(SHOWN)].join(", ");
    match names.len().saturating_sub(SHOWN) {
        0 => list,
        more => format!("{list} and {more} more"),
    }
}
