use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::SoakError;

/// A day in the format of the users' bench.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    /// Disruptions.
    #[serde(default)]
    pub faults: Vec<DayFault>,
    /// Length of the traffic in seconds.
    pub length_s: f64,
    /// Name of the day.
    pub name: String,
}

/// A disruption of a day.
#[derive(Clone, Debug, Deserialize)]
pub struct DayFault {
    /// Start in seconds after that of the traffic.
    pub at: f64,
    /// Length in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Variant.
    #[serde(default)]
    pub how: String,
    /// Kind.
    pub kind: String,
    /// Strength.
    #[serde(default)]
    pub x: Option<f64>,
}

impl Day {
    /// Reads a day file.
    ///
    /// # Errors
    /// [`SoakError::Day`] when the file cannot be read or decoded.
    pub fn read(path: &Path) -> Result<Self, SoakError> {
        let error = |detail: String| SoakError::Day { path: path.to_owned(), detail };
        let text = fs::read_to_string(path).map_err(|source| error(source.to_string()))?;
        toml::from_str(&text).map_err(|source| error(source.to_string()))
    }
}
