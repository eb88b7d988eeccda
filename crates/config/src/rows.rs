use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ConfigError;

/// Rows by key, `route/<name>` or `pool/<name>`, with their TOML text. Texts are shared between
/// versions of a document.
pub type Rows = BTreeMap<String, Arc<str>>;

/// Splits the texts of both tables into rows. Comments and layout are dropped, so that an edit that
/// changes nothing else changes no row. The texts are otherwise not checked.
pub fn split_rows(routes: &str, pools: &str) -> Result<Rows, ConfigError> {
    let mut rows = Rows::new();
    split_into(&mut rows, "routes", "route", routes)?;
    split_into(&mut rows, "pools", "pool", pools)?;
    Ok(rows)
}

fn split_into(
    rows: &mut Rows,
    file: &'static str,
    kind: &'static str,
    text: &str,
) -> Result<(), ConfigError> {
    let malformed = |detail: String| ConfigError::Malformed { name: file, detail };
    let table: toml::Table = toml::from_str(text).map_err(|error| malformed(error.to_string()))?;
    let Some(elements) = table.get(kind) else { return Ok(()) };
    let elements = elements.as_array().ok_or_else(|| malformed(format!("{kind} is no list")))?;
    for (at, element) in elements.iter().enumerate() {
        let name = element.get("name").and_then(toml::Value::as_str);
        let name = name.ok_or(ConfigError::NoName { kind, position: at + 1 })?;
        let text = toml::to_string(element).map_err(|error| malformed(error.to_string()))?;
        if rows.insert(format!("{kind}/{name}"), text.into()).is_some() {
            return Err(ConfigError::Duplicate { kind, name: name.to_owned() });
        }
    }
    Ok(())
}
