use std::collections::BTreeMap;
use std::sync::Arc;

use toml::{Table, Value};

use crate::ConfigError;

/// Rows by key with their TOML text: `route/<name>`, `pool/<name>`, and for each named element of
/// a list within a pool `pool/<name>/<list>/<element>`, such as `pool/a/team/x`. Texts are shared
/// between versions of a document.
pub type Rows = BTreeMap<String, Arc<str>>;

/// Splits the texts of both tables into rows. Comments, layout and order are dropped, so that an
/// edit that changes nothing else changes no row. The texts are otherwise not checked.
///
/// The elements of a pool are rows of their own, because a pool with 310 teams is 48 KB: sent with
/// each of 11,000 changes a day it would exceed the 2 KB/s that a node may use.
pub fn split_rows(routes: &str, pools: &str) -> Result<Rows, ConfigError> {
    let mut rows = Rows::new();
    for (name, route) in elements("routes", "route", routes)? {
        insert(&mut rows, format!("route/{name}"), &route)?;
    }
    for (name, mut pool) in elements("pools", "pool", pools)? {
        for (list, value) in std::mem::take(&mut pool) {
            let Value::Array(parts) = value else {
                pool.insert(list, value);
                continue;
            };
            if parts.is_empty() || !parts.iter().all(Value::is_table) {
                pool.insert(list, Value::Array(parts));
                continue;
            }
            for (part, fields) in named(&list, parts)? {
                insert(&mut rows, format!("pool/{name}/{list}/{part}"), &fields)?;
            }
        }
        insert(&mut rows, format!("pool/{name}"), &pool)?;
    }
    Ok(rows)
}

/// Joins rows to the texts of routes.toml and pools.toml. Elements are sorted by name.
pub fn join_rows(rows: &Rows) -> Result<(String, String), ConfigError> {
    let (mut routes, mut pools) = (Vec::new(), BTreeMap::new());
    // A pool sorts before its elements.
    for (key, text) in rows {
        let broken = || malformed("rows", format!("row {key:?} belongs to no table"));
        let fields: Table = toml::from_str(text).map_err(|error| malformed("rows", error))?;
        match key.split('/').collect::<Vec<_>>()[..] {
            ["route", _] => routes.push(Value::Table(fields)),
            ["pool", name] => drop(pools.insert(name, fields)),
            ["pool", name, list, _] => {
                let pool: &mut Table = pools.get_mut(name).ok_or_else(broken)?;
                let parts = pool.entry(list).or_insert_with(|| Value::Array(Vec::new()));
                parts.as_array_mut().ok_or_else(broken)?.push(Value::Table(fields));
            }
            _ => return Err(broken()),
        }
    }
    let pools = pools.into_values().map(Value::Table).collect();
    Ok((text("route", routes)?, text("pool", pools)?))
}

/// Returns the elements of the list `kind` in a file, by name.
fn elements(
    file: &'static str,
    kind: &'static str,
    text: &str,
) -> Result<BTreeMap<String, Table>, ConfigError> {
    let mut table: Table = toml::from_str(text).map_err(|error| malformed(file, error))?;
    match table.remove(kind) {
        None => Ok(BTreeMap::new()),
        Some(Value::Array(elements)) => named(kind, elements),
        Some(_) => Err(malformed(file, format!("{kind} is no list"))),
    }
}

fn named(kind: &str, elements: Vec<Value>) -> Result<BTreeMap<String, Table>, ConfigError> {
    let mut tables = BTreeMap::new();
    for (at, element) in elements.into_iter().enumerate() {
        let kind = kind.to_owned();
        let Value::Table(table) = element else {
            return Err(ConfigError::NoName { kind, position: at + 1 });
        };
        let name = table.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
        // A slash separates the parts of a key.
        if name.is_empty() || name.contains('/') {
            return Err(ConfigError::NoName { kind, position: at + 1 });
        }
        if tables.insert(name.clone(), table).is_some() {
            return Err(ConfigError::Duplicate { kind, name });
        }
    }
    Ok(tables)
}

fn insert(rows: &mut Rows, key: String, fields: &Table) -> Result<(), ConfigError> {
    let text = toml::to_string(fields).map_err(|error| malformed("rows", error))?;
    rows.insert(key, text.into());
    Ok(())
}

fn text(kind: &str, elements: Vec<Value>) -> Result<String, ConfigError> {
    if elements.is_empty() {
        return Ok(String::new());
    }
    let table = Table::from_iter([(kind.to_owned(), Value::Array(elements))]);
    toml::to_string(&table).map_err(|error| malformed("rows", error))
}

fn malformed(name: &'static str, detail: impl ToString) -> ConfigError {
    ConfigError::Malformed { name, detail: detail.to_string() }
}
