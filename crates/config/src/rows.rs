use std::collections::BTreeMap;
use std::sync::Arc;

use toml::{Table, Value};

use crate::ConfigError;

/// The TOML texts of rows by key. The keys are `route/<name>`, `pool/<name>`, and for each named
/// element of a list within a pool `pool/<name>/<list>/<element>`, such as `pool/a/team/x`.
/// Versions of a document share the texts.
pub type Rows = BTreeMap<String, Arc<str>>;

/// Splits the texts of both tables into rows. Comments, layout and order are dropped, so that an
/// edit that changes only these changes no row. The content is not validated beyond TOML syntax
/// and names.
///
/// The elements of a pool are separate rows, because a pool with 310 teams is 48 KB long. Sending
/// it with each of 11,000 changes per day would exceed the 2 KB/s that a node may use.
pub fn split_rows(routes: &str, pools: &str) -> Result<Rows, ConfigError> {
    let mut rows = Rows::new();
    for (name, route) in elements("routes", "route", routes)? {
        insert_row(&mut rows, format!("route/{name}"), &route)?;
    }
    for (name, mut pool) in elements("pools", "pool", pools)? {
        for (list, value) in std::mem::take(&mut pool) {
            let Value::Array(elements) = value else {
                pool.insert(list, value);
                continue;
            };
            if elements.is_empty() || !elements.iter().all(Value::is_table) {
                pool.insert(list, Value::Array(elements));
                continue;
            }
            for (element, fields) in by_name(&list, elements)? {
                insert_row(&mut rows, format!("pool/{name}/{list}/{element}"), &fields)?;
            }
        }
        insert_row(&mut rows, format!("pool/{name}"), &pool)?;
    }
    Ok(rows)
}

/// Joins rows into the texts of routes.toml and pools.toml. Elements are sorted by name.
pub fn join_rows(rows: &Rows) -> Result<(String, String), ConfigError> {
    let (mut routes, mut pools) = (Vec::new(), BTreeMap::new());
    // The key of a pool sorts before the keys of its elements, so that the pool exists when its
    // elements are added.
    for (key, text) in rows {
        let invalid_key =
            || malformed("rows", format!("row {key:?} is no route, pool or element of a pool"));
        let fields: Table = toml::from_str(text).map_err(|error| malformed("rows", error))?;
        match key.split('/').collect::<Vec<_>>()[..] {
            ["route", _] => routes.push(Value::Table(fields)),
            ["pool", name] => drop(pools.insert(name, fields)),
            ["pool", name, list, _] => {
                let pool: &mut Table = pools.get_mut(name).ok_or_else(invalid_key)?;
                let elements = pool.entry(list).or_insert_with(|| Value::Array(Vec::new()));
                elements.as_array_mut().ok_or_else(invalid_key)?.push(Value::Table(fields));
            }
            _ => return Err(invalid_key()),
        }
    }
    let pools = pools.into_values().map(Value::Table).collect();
    Ok((to_text("route", routes)?, to_text("pool", pools)?))
}

/// Parses the text of a file and returns the elements of its list `kind` by name.
fn elements(
    file: &'static str,
    kind: &'static str,
    text: &str,
) -> Result<BTreeMap<String, Table>, ConfigError> {
    let mut table: Table = toml::from_str(text).map_err(|error| malformed(file, error))?;
    match table.remove(kind) {
        None => Ok(BTreeMap::new()),
        Some(Value::Array(elements)) => by_name(kind, elements),
        Some(_) => Err(malformed(file, format!("{kind} is not a list"))),
    }
}

/// Returns the elements of a list by name.
fn by_name(kind: &str, elements: Vec<Value>) -> Result<BTreeMap<String, Table>, ConfigError> {
    let mut tables = BTreeMap::new();
    for (index, element) in elements.into_iter().enumerate() {
        let kind = kind.to_owned();
        let Value::Table(table) = element else {
            return Err(ConfigError::NoName { kind, position: index + 1 });
        };
        let name = table.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
        // Slashes separate the parts of a key, so that names must not contain them.
        if name.is_empty() || name.contains('/') {
            return Err(ConfigError::NoName { kind, position: index + 1 });
        }
        if tables.insert(name.clone(), table).is_some() {
            return Err(ConfigError::Duplicate { kind, name });
        }
    }
    Ok(tables)
}

fn insert_row(rows: &mut Rows, key: String, fields: &Table) -> Result<(), ConfigError> {
    let text = toml::to_string(fields).map_err(|error| malformed("rows", error))?;
    rows.insert(key, text.into());
    Ok(())
}

fn to_text(kind: &str, elements: Vec<Value>) -> Result<String, ConfigError> {
    if elements.is_empty() {
        return Ok(String::new());
    }
    let table = Table::from_iter([(kind.to_owned(), Value::Array(elements))]);
    toml::to_string(&table).map_err(|error| malformed("rows", error))
}

fn malformed(name: &'static str, detail: impl ToString) -> ConfigError {
    ConfigError::Malformed { name, detail: detail.to_string() }
}
