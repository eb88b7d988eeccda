use toml::de::DeTable;

use crate::document::Document;
use crate::limits::{
    BODY_LIMIT_BYTES, DEADLINE, DEFAULT_BODY_LIMIT_BYTES, DEFAULT_QUEUE_LENGTH,
    DEFAULT_RETRY_PERCENT, PRIORITY, QUEUE_LENGTH, RETRY_PERCENT,
};
use crate::rule;
use crate::section::Section;
use crate::unique::UniqueKey;
use crate::{Fault, Route};

const ROUTE_KEYS: [&str; 9] = [
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

/// Reads the routes table. Returns for each row that names a pool the route, the name of the pool
/// and the location of that name. The route is none when a required value is absent or not allowed;
/// the caller can still check that the pool exists.
pub(crate) fn read_routes(document: &Document) -> Vec<(Option<Route>, String, Fault)> {
    let (table, _) = DeTable::parse_recoverable(document.text());
    let root = Section::root(document, &table);
    root.reject_unknown(&["route"]);
    let sections = root.sections("route");
    if sections.is_empty() && document.fault_count() == 0 {
        root.report_missing("route", "the table is empty; at least one [[route]] must be present");
    }
    let mut unique_names = UniqueKey::new(document, "name");
    let mut unique_paths = UniqueKey::new(document, "path");
    let mut routes = Vec::new();
    for section in &sections {
        let name = section.required("name", &rule::name());
        let path = section.required("path", &rule::path());
        unique_names.check(section, name.as_ref());
        unique_paths.check(section, path.as_ref());
        let pool = section.required("pool", &rule::name());
        let route = read_route(section, name, path, pool.as_ref());
        section.reject_unknown(&ROUTE_KEYS);
        if let Some(pool) = pool {
            routes.push((route, pool, section.location("pool")));
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
    let queue = section.optional("queue", &rule::integer(QUEUE_LENGTH));
    let retry_percent = section.optional("retry_percent", &rule::integer(RETRY_PERCENT));
    let body_limit = section.optional("body_limit", &rule::size(BODY_LIMIT_BYTES, "64KiB"));
    Some(Route {
        name: name?,
        path: path?,
        pool: pool?.clone(),
        priority: priority?,
        idempotent: idempotent?,
        deadline: deadline?,
        queue: queue.unwrap_or(DEFAULT_QUEUE_LENGTH),
        retry_percent: retry_percent.unwrap_or(DEFAULT_RETRY_PERCENT),
        body_limit: body_limit.unwrap_or(DEFAULT_BODY_LIMIT_BYTES),
    })
}
