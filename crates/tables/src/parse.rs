use std::collections::BTreeMap;

use crate::document::Document;
use crate::read_pools::{ParsedPool, join_names, read_pools};
use crate::read_routes::read_routes;
use crate::shapes::check_guarantees;
use crate::{Fault, Row, Tables};

/// One table as it is given to [`parse_files`].
#[derive(Clone, Copy, Debug)]
pub struct SourceFile<'a> {
    /// Name of the file in faults.
    pub name: &'a str,
    /// TOML text.
    pub bytes: &'a [u8],
}

/// Parses and checks both tables. Returns all faults: first those of the routes, then those of the
/// pools, each sorted by location. Guarantees that are hard to pack take up to a second, so a
/// server must call this where it may block.
pub fn parse(routes: &[u8], pools: &[u8]) -> Result<Tables, Vec<Fault>> {
    parse_files(
        SourceFile { name: "routes.toml", bytes: routes },
        SourceFile { name: "pools.toml", bytes: pools },
    )
}

/// Does the same as [`parse`], and faults show the given names of the files.
pub fn parse_files(routes: SourceFile<'_>, pools: SourceFile<'_>) -> Result<Tables, Vec<Fault>> {
    read_tables(routes, pools, true)
}

/// Parses tables that were accepted before. Does not check that the guarantees fit on the described
/// workers, because this takes up to a second and was done when the edit was accepted.
pub fn parse_accepted(routes: &[u8], pools: &[u8]) -> Result<Tables, Vec<Fault>> {
    read_tables(
        SourceFile { name: "routes.toml", bytes: routes },
        SourceFile { name: "pools.toml", bytes: pools },
        false,
    )
}

fn read_tables(
    routes: SourceFile<'_>,
    pools: SourceFile<'_>,
    check_fit: bool,
) -> Result<Tables, Vec<Fault>> {
    let routes_document = Document::new(routes.name, routes.bytes);
    let pools_document = Document::new(pools.name, pools.bytes);
    let (parsed_pools, pool_names) = read_pools(&pools_document);
    // The pools of routes are not checked against a pools table that cannot be read, because every
    // route would be reported only as a consequence of the faults in that table.
    let all_pools_read = !pool_names.is_empty() && !pools_document.is_invalid();
    let mut tables = Tables::default();
    for (route, pool, location) in read_routes(&routes_document) {
        if all_pools_read && !pool_names.contains(&pool) {
            let names: Vec<_> = pool_names.iter().map(String::as_str).collect();
            routes_document
                .report(location, &format!("must be the name of a pool: {}", join_names(&names)));
        }
        tables.routes.extend(route);
    }
    for ParsedPool { pool, guarantee_locations } in parsed_pools {
        if check_fit {
            check_guarantees(&pools_document, &pool, &guarantee_locations);
        }
        tables.pools.push(pool);
    }
    let mut faults = routes_document.into_faults();
    faults.extend(pools_document.into_faults());
    if !faults.is_empty() {
        return Err(faults);
    }
    tables.sort();
    Ok(tables)
}

impl Tables {
    /// Builds the tables from rows, as [`Tables::rows`] returns them. Checks each row, and that the
    /// pool of every route exists. Does not check that the guarantees fit on the described workers,
    /// which is done once when an edit is accepted.
    pub fn from_rows<'a>(
        rows: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, Vec<Fault>> {
        let mut tables = Self::default();
        let mut faults = Vec::new();
        for (key, text) in rows {
            match Row::parse(key, text) {
                Ok(Row::Route(route)) => tables.routes.push(route),
                Ok(Row::Pool(pool)) => tables.pools.push(pool),
                Err(row_faults) => faults.extend(row_faults),
            }
        }
        tables.sort();
        if faults.is_empty() {
            faults.extend(
                tables.routes.iter().filter(|route| tables.pool(&route.pool).is_none()).map(
                    |route| Fault {
                        file: format!("route/{}", route.name),
                        line: 1,
                        column: 1,
                        field: format!("route.{}.pool", route.name),
                        value: format!("{:?}", route.pool),
                        allowed: "must be the name of a pool".to_owned(),
                    },
                ),
            );
        }
        if faults.is_empty() { Ok(tables) } else { Err(faults) }
    }

    /// Returns the TOML text of each row by its key.
    pub fn rows(&self) -> BTreeMap<String, String> {
        let routes = self.routes.iter().cloned().map(Row::Route);
        let pools = self.pools.iter().cloned().map(Row::Pool);
        routes.chain(pools).map(|row| (row.key(), row.to_text())).collect()
    }

    /// Returns the TOML texts of the routes table and of the pools table.
    pub fn to_texts(&self) -> (String, String) {
        let join = |rows: Vec<Row>| rows.iter().map(Row::to_text).collect::<Vec<_>>().join("\n");
        (
            join(self.routes.iter().cloned().map(Row::Route).collect()),
            join(self.pools.iter().cloned().map(Row::Pool).collect()),
        )
    }

    fn sort(&mut self) {
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
    }
}
