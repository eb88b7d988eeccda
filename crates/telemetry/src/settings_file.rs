use std::path::Path;

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

/// Why a settings file was rejected.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read as text.
    #[display("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid; the cause names line, column and field.
    #[display("{path}: {source}")]
    Parse {
        /// The file.
        path: String,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[display("{path}: {field}: {problem}")]
    Value {
        /// The file.
        path: String,
        /// The field.
        field: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
}

/// Reads settings from the TOML file at `path`.
///
/// # Errors
/// [`SettingsError`] when the file cannot be read or does not have the expected fields.
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: name.clone(), source })?;
    toml::from_str(&text)
        .map_err(|source| SettingsError::Parse { path: name, source: Box::new(source) })
}
