use serde::{Deserialize, Serialize};

use crate::{ConfigError, Document, split_rows};

/// Content of the store row `tables`: one accepted edit of both tables.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TablesRow {
    /// Version of the configuration, one more than that of the edit that it replaced. It does not
    /// depend on how the store assigns the versions of its rows.
    pub version: u64,
    /// Unique id of the edit. After a lost answer the writer recognizes its own edit by this id.
    pub edit: String,
    /// Text of routes.toml.
    pub routes: String,
    /// Text of pools.toml.
    pub pools: String,
}

impl TablesRow {
    /// Returns the row of a first edit, which has version 1.
    pub fn new(edit: &str, routes: &str, pools: &str) -> Self {
        let (edit, routes, pools) = (edit.to_owned(), routes.to_owned(), pools.to_owned());
        Self { version: 1, edit, routes, pools }
    }

    /// Returns the edit with the version that follows that of `base`, which it replaces.
    pub fn with_base(self, base: &Self) -> Self {
        Self { version: base.version + 1, ..self }
    }

    /// Encodes the edit as the value of the store row.
    pub fn encode(&self) -> Result<String, ConfigError> {
        toml::to_string(self).map_err(|error| malformed(&error))
    }

    /// Decodes the value of the store row.
    pub fn decode(value: &[u8]) -> Result<Self, ConfigError> {
        let row: Self = toml::from_slice(value).map_err(|error| malformed(&error))?;
        match row.version {
            0 => Err(malformed(&"the version is 0, the lowest allowed is 1")),
            _ => Ok(row),
        }
    }

    /// Returns the document that results from the edit.
    pub fn document(&self) -> Result<Document, ConfigError> {
        Ok(Document::new(self.version, split_rows(&self.routes, &self.pools)?))
    }
}

fn malformed(detail: &impl ToString) -> ConfigError {
    ConfigError::Malformed { name: "tables", detail: detail.to_string() }
}
