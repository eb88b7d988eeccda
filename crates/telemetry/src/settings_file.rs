use std::path::Path;

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

/// Why a settings file was rejected.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read or is not UTF-8.
    #[display("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid; the cause names line, column and field.
    #[display("{path} is not a valid settings file: {source}")]
    Parse {
        /// The file.
        path: String,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// A value is not allowed.
    #[display("{path}: {field}: {problem}")]
    Value {
        /// The file.
        path: String,
        /// The field.
        field: String,
        /// The fault, and the values that are allowed.
        problem: String,
    },
}

/// Reads settings from the TOML file at `path`.
///
/// # Errors
/// [`SettingsError`] if the file cannot be read or does not have the expected fields.
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: name.clone(), source })?;
    toml::from_str(&text)
        .map_err(|source| SettingsError::Parse { path: name, source: Box::new(source) })
}
