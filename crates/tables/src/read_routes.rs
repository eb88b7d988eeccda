use toml::de::DeTable;

use crate::document::Document;
use crate::limits::{
    BODY_LIMIT, DEADLINE, DEFAULT_BODY_LIMIT, DEFAULT_QUEUE, DEFAULT_RETRY_PERCENT, PRIORITY,
    QUEUE, RETRY_PERCENT,
};
use crate::rule;
use crate::section::Section;
use crate::unique::Unique;
use crate::{Fault, Route};

const KEYS: [&str; 9] = [
    "body_limit",
    "deadline",
    "idempotent",
    "name",
    "path",
    "pool",
    "priority",
    "queue",
    "retry_percent",
];

/// Reads the routes table; each route comes with the place of its pool. Rows with faults are left
/// out, but for the ones whose pool can still be checked.
pub(crate) fn read_routes(document: &Document) -> Vec<(Option<Route>, String, Fault)> {
    let (table, _) = DeTable::parse_recoverable(document.text());
    let root = Section::root(document, &table);
    root.reject_unknown(&["route"]);
    let sections = root.sections("route");
    if sections.is_empty() && document.fault_count() == 0 {
        root.report_missing("route", "the table is empty; at least one [[route]] must be present");
    }
    let mut names = Unique::new(document, "name");
    let mut paths = Unique::new(document, "path");
    let mut routes = Vec::new();
    for section in &sections {
        let name = section.required("name", &rule::name());
        let path = section.required("path", &rule::path());
        names.check(section, name.as_ref());
        paths.check(section, path.as_ref());
        let pool = section.required("pool", &rule::name());
        let route = read_route(section, name, path, pool.as_ref());
        section.reject_unknown(&KEYS);
        if let Some(pool) = pool {
            routes.push((route, pool, section.spot("pool")));
        }
    }
    routes
}

fn read_route(
    section: &Section<'_>,
    name: Option<String>,
    path: Option<String>,
    pool: Option<&String>,
) -> Option<Route> {
    let priority = section.required("priority", &rule::integer(PRIORITY));
    let idempotent = section.required("idempotent", &rule::boolean());
    let deadline = section.required("deadline", &rule::duration(DEADLINE));
    let queue = section.optional("queue", &rule::integer(QUEUE));
    let retry_percent = section.optional("retry_percent", &rule::integer(RETRY_PERCENT));
    let body_limit = section.optional("body_limit", &rule::size(BODY_LIMIT, "64KiB"));
    Some(Route {
        name: name?,
        path: path?,
        pool: pool?.clone(),
        priority: priority?,
        idempotent: idempotent?,
        deadline: deadline?,
        queue: queue.unwrap_or(DEFAULT_QUEUE),
        retry_percent: retry_percent.unwrap_or(DEFAULT_RETRY_PERCENT),
        body_limit: body_limit.unwrap_or(DEFAULT_BODY_LIMIT),
    })
}
