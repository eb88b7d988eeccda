use serde::Serialize;
use skylarkpulley_types::Locality;

use crate::document::Document;
use crate::read_pools::read_pools;
use crate::read_routes::read_routes;
use crate::size::format_size;
use crate::{Fault, Pool, PoolKind, Route, Team};

/// One row of either table. The configuration is distributed as single rows.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// A row of the routes table.
    Route(Route),
    /// A row of the pools table.
    Pool(Pool),
}

impl Row {
    /// Parses and checks the text of the row with `key`, which is `route/<name>` or
    /// `pool/<name>`. The text must be a table that contains only this row. Faults show the key as
    /// their file.
    pub fn parse(key: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let document = Document::new(key, text.as_bytes());
        let row = match key.split_once('/') {
            Some(("route", _)) => single(read_routes(&document).into_iter().map(|(row, ..)| row))
                .flatten()
                .map(Self::Route),
            Some(("pool", _)) => {
                single(read_pools(&document).0).map(|parsed| Self::Pool(parsed.pool))
            }
            _ => None,
        };
        let location = Fault { value: format!("{key:?}"), ..document.location(0..0, "row") };
        let faults = document.into_faults();
        match row {
            _ if !faults.is_empty() => Err(faults),
            Some(row) if row.key() == key => Ok(row),
            _ => {
                let allowed = "the key must be route/<name> or pool/<name>, and the text must \
                               contain exactly the row with this name";
                Err(vec![Fault { allowed: allowed.to_owned(), ..location }])
            }
        }
    }

    /// Returns the key, which is `route/<name>` or `pool/<name>`.
    pub fn key(&self) -> String {
        match self {
            Self::Route(route) => format!("route/{}", route.name),
            Self::Pool(pool) => format!("pool/{}", pool.name),
        }
    }

    /// Formats the row as TOML that [`Row::parse`] accepts. Equal rows have equal texts.
    pub fn to_text(&self) -> String {
        let text = match self {
            Self::Route(route) => toml::to_string(&RouteFile { route: [RouteText::new(route)] }),
            Self::Pool(pool) => toml::to_string(&PoolFile { pool: [PoolText::new(pool)] }),
        };
        // The text types contain only strings, booleans, numbers, arrays and tables, all of which
        // TOML can represent, so that writing does not fail.
        text.unwrap_or_default()
    }
}

/// Returns the element of `rows` when there is exactly one.
fn single<T>(rows: impl IntoIterator<Item = T>) -> Option<T> {
    let mut rows = rows.into_iter();
    let row = rows.next()?;
    rows.next().is_none().then_some(row)
}

#[derive(Serialize)]
struct RouteFile<'a> {
    route: [RouteText<'a>; 1],
}

#[derive(Serialize)]
struct RouteText<'a> {
    name: &'a str,
    path: &'a str,
    pool: &'a str,
    priority: u8,
    idempotent: bool,
    deadline: String,
    queue: u32,
    retry_percent: u8,
    body_limit: String,
}

impl<'a> RouteText<'a> {
    fn new(route: &'a Route) -> Self {
        Self {
            name: &route.name,
            path: &route.path,
            pool: &route.pool,
            priority: route.priority,
            idempotent: route.idempotent,
            deadline: humantime::format_duration(route.deadline).to_string(),
            queue: route.queue,
            retry_percent: route.retry_percent,
            body_limit: format_size(route.body_limit),
        }
    }
}

#[derive(Serialize)]
struct PoolFile<'a> {
    pool: [PoolText<'a>; 1],
}

/// A pool in the text. The keys that its kind does not have are omitted.
#[derive(Serialize)]
struct PoolText<'a> {
    name: &'a str,
    kind: PoolKind,
    #[serde(skip_serializing_if = "Option::is_none")]
    slots: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    connections: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    objective: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cores: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    memory: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accelerators: Option<u32>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    domain: Vec<DomainText<'a>>,
    team: &'a [Team],
    #[serde(skip_serializing_if = "Vec::is_empty")]
    guarantee: Vec<GuaranteeText<'a>>,
}

#[derive(Serialize)]
struct DomainText<'a> {
    name: &'a str,
    racks: &'a [u32],
}

#[derive(Serialize)]
struct GuaranteeText<'a> {
    name: &'a str,
    team: &'a str,
    accelerators: u32,
    workers: u32,
    locality: Locality,
    count: u32,
}

impl<'a> PoolText<'a> {
    fn new(pool: &'a Pool) -> Self {
        let is_upstream = pool.kind == PoolKind::Upstream;
        let domains = pool.domains.iter();
        let guarantees = pool.guarantees.iter();
        Self {
            name: &pool.name,
            kind: pool.kind,
            slots: is_upstream.then_some(pool.slots),
            connections: is_upstream.then_some(pool.connections),
            objective: (!is_upstream).then_some(pool.objective),
            cores: (!is_upstream).then_some(pool.cores),
            memory: (!is_upstream).then(|| format_size(pool.memory_mib << 20)),
            accelerators: (!is_upstream).then_some(pool.accelerators),
            domain: domains
                .map(|domain| DomainText { name: &domain.name, racks: &domain.racks })
                .collect(),
            team: &pool.teams,
            guarantee: guarantees
                .map(|guarantee| GuaranteeText {
                    name: &guarantee.name,
                    team: &guarantee.team,
                    accelerators: guarantee.shape.accelerators,
                    workers: guarantee.shape.workers,
                    locality: guarantee.shape.locality,
                    count: guarantee.count,
                })
                .collect(),
        }
    }
}
