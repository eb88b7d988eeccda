use skylarkpulley_types::{Locality, Shape};
use toml::de::DeTable;

use crate::document::Document;
use crate::limits::{
    GANG_WORKERS, GUARANTEE_COUNT, MAX_POOL_INSTANCES, MAX_POOL_WORKERS, OBJECTIVE, TEAM_WEIGHT,
    UPSTREAM_CONNECTIONS, UPSTREAM_SLOTS, WORKER_ACCELERATORS, WORKER_CORES, WORKER_MEMORY_BYTES,
    WORKERS_PER_RACK,
};
use crate::rule;
use crate::section::Section;
use crate::unique::UniqueKey;
use crate::{Domain, Fault, Guarantee, Pool, PoolKind, Team};

const UPSTREAM_KEYS: [&str; 5] = ["connections", "kind", "name", "slots", "team"];
const WORKER_KEYS: [&str; 9] =
    ["accelerators", "cores", "domain", "guarantee", "kind", "memory", "name", "objective", "team"];
const GUARANTEE_KEYS: [&str; 6] = ["accelerators", "count", "locality", "name", "team", "workers"];
const LOCALITIES: [Locality; 4] =
    [Locality::Worker, Locality::Rack, Locality::Domain, Locality::Pool];
const POOL_KINDS: [PoolKind; 2] = [PoolKind::Upstream, PoolKind::Worker];

/// A pool whose own fields have no faults, with the locations for faults of its guarantees.
pub(crate) struct ParsedPool {
    pub(crate) pool: Pool,
    /// For each guarantee of the pool, the locations of its header and of its count.
    pub(crate) guarantee_locations: Vec<(Fault, Fault)>,
}

/// Reads the pools table. Returns the pools without faults, and the names of all pools, also of
/// those with faults.
pub(crate) fn read_pools(document: &Document) -> (Vec<ParsedPool>, Vec<String>) {
    let (table, _) = DeTable::parse_recoverable(document.text());
    let root = Section::root(document, &table);
    root.reject_unknown(&["pool"]);
    let sections = root.sections("pool");
    if sections.is_empty() && document.fault_count() == 0 {
        root.report_missing("pool", "the table is empty; at least one [[pool]] must be present");
    }
    let mut unique_names = UniqueKey::new(document, "name");
    let mut pools = Vec::new();
    let mut names = Vec::new();
    for section in &sections {
        let faults_before = document.fault_count();
        let name = section.required("name", &rule::name());
        unique_names.check(section, name.as_ref());
        names.extend(name.clone());
        let pool = match section.required("kind", &rule::choice(&POOL_KINDS)) {
            Some(PoolKind::Upstream) => read_upstreams(document, section, name),
            Some(PoolKind::Worker) => read_workers(document, section, name),
            // The other keys show which kind is meant, so that their faults are reported as well.
            None if section.contains_key("slots") || section.contains_key("connections") => {
                read_upstreams(document, section, name)
            }
            None => read_workers(document, section, name),
        };
        if document.fault_count() == faults_before {
            pools.extend(pool);
        }
    }
    (pools, names)
}

fn read_upstreams(
    document: &Document,
    section: &Section<'_>,
    name: Option<String>,
) -> Option<ParsedPool> {
    section.reject_unknown(&UPSTREAM_KEYS);
    let slots = section.required("slots", &rule::integer::<u32>(UPSTREAM_SLOTS));
    let connections = section.required("connections", &rule::integer::<u32>(UPSTREAM_CONNECTIONS));
    if slots.zip(connections).is_some_and(|(slots, connections)| connections < slots) {
        document.report(section.location("connections"), "must be at least the number of slots");
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
    Some(ParsedPool { pool, guarantee_locations: Vec::new() })
}

fn read_workers(
    document: &Document,
    section: &Section<'_>,
    name: Option<String>,
) -> Option<ParsedPool> {
    section.reject_unknown(&WORKER_KEYS);
    let objective = section.required("objective", &rule::number(OBJECTIVE));
    let cores = section.required("cores", &rule::integer(WORKER_CORES));
    let memory = section.required("memory", &rule::mebibytes(WORKER_MEMORY_BYTES, "256GiB"));
    let accelerators = section.required("accelerators", &rule::integer(WORKER_ACCELERATORS));
    let domains = read_domains(document, section);
    let teams = read_teams(document, section);
    let max_accelerators = accelerators.unwrap_or(*WORKER_ACCELERATORS.end() as u32);
    let mut guarantees = read_guarantees(document, section, &teams, max_accelerators);
    guarantees.sort_by(|(a, ..), (b, ..)| a.name.cmp(&b.name));
    let guarantee_locations =
        guarantees.iter().map(|(_, header, count)| (header.clone(), count.clone()));
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
    Some(ParsedPool { pool, guarantee_locations: guarantee_locations.collect() })
}

fn read_domains(document: &Document, section: &Section<'_>) -> Vec<Domain> {
    let sections = section.sections("domain");
    if sections.is_empty() {
        section.report_missing("domain", "at least one [[pool.domain]] must be present");
    }
    let mut unique_names = UniqueKey::new(document, "name");
    let mut domains = Vec::new();
    for section in &sections {
        section.reject_unknown(&["name", "racks"]);
        let name = section.required("name", &rule::name());
        unique_names.check(section, name.as_ref());
        let racks = section.required_array("racks", &rule::integer(WORKERS_PER_RACK));
        domains.extend(name.map(|name| Domain { name, racks }));
    }
    let workers: u64 =
        domains.iter().flat_map(|domain| &domain.racks).copied().map(u64::from).sum();
    if workers > MAX_POOL_WORKERS {
        let location = Fault { value: workers.to_string(), ..section.location("domain") };
        document.report(location, &format!("a pool must have at most {MAX_POOL_WORKERS} workers"));
    }
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    domains
}

fn read_teams(document: &Document, section: &Section<'_>) -> Vec<Team> {
    let sections = section.sections("team");
    if sections.is_empty() {
        section.report_missing("team", "at least one [[pool.team]] must be present");
    }
    let mut unique_names = UniqueKey::new(document, "name");
    let mut teams = Vec::new();
    for section in &sections {
        section.reject_unknown(&["name", "weight"]);
        let name = section.required("name", &rule::name());
        unique_names.check(section, name.as_ref());
        let weight = section.required("weight", &rule::integer(TEAM_WEIGHT));
        // A team with a fault in its weight still counts as a team of the pool, so that its
        // guarantees are not reported as well.
        teams.extend(name.map(|name| Team { name, weight: weight.unwrap_or(1) }));
    }
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    teams
}

/// Returns each guarantee with the locations of its header and of its count.
fn read_guarantees(
    document: &Document,
    section: &Section<'_>,
    teams: &[Team],
    max_accelerators: u32,
) -> Vec<(Guarantee, Fault, Fault)> {
    let mut unique_names = UniqueKey::new(document, "name");
    let mut guarantees = Vec::new();
    let mut instances = 0;
    for section in section.sections("guarantee") {
        section.reject_unknown(&GUARANTEE_KEYS);
        let name = section.required("name", &rule::name());
        unique_names.check(&section, name.as_ref());
        let team = section.required("team", &rule::name());
        if let Some(team) = &team
            && !teams.iter().any(|candidate| candidate.name == *team)
        {
            let names: Vec<_> = teams.iter().map(|team| team.name.as_str()).collect();
            document.report(
                section.location("team"),
                &format!("must be one of the pool's teams: {}", join_names(&names)),
            );
        }
        let accelerators_rule =
            rule::integer(*WORKER_ACCELERATORS.start()..=max_accelerators.into());
        let accelerators = section.required("accelerators", &accelerators_rule);
        let workers = section.required("workers", &rule::integer(GANG_WORKERS));
        let locality = section.required("locality", &rule::choice(&LOCALITIES));
        let count = section.required("count", &rule::integer(GUARANTEE_COUNT));
        guarantees.extend(|| -> Option<_> {
            let shape = Shape::new(accelerators?, workers?, locality?);
            let guarantee = Guarantee { name: name?, team: team?, shape, count: count? };
            instances += u64::from(guarantee.count);
            if instances > MAX_POOL_INSTANCES {
                let allowed = format!(
                    "the guarantees of a pool must have at most {MAX_POOL_INSTANCES} instances in \
                     total"
                );
                document.report(section.location("count"), &allowed);
            }
            Some((guarantee, section.header_location(), section.location("count")))
        }());
    }
    guarantees
}

/// Joins at most `MAX_LISTED` of `names` and the number of the others for a fault.
pub(crate) fn join_names(names: &[&str]) -> String {
    const MAX_LISTED: usize = 10;
    let list = names[..names.len().min(MAX_LISTED)].join(", ");
    match names.len().saturating_sub(MAX_LISTED) {
        0 => list,
        omitted => format!("{list} and {omitted} more"),
    }
}
