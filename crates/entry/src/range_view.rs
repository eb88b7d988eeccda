use std::sync::Arc;

use skylarkpulley_keys::RangeMap;
use skylarkpulley_proto::v1;

/// Current key range map of this entry.
#[derive(Clone, Debug, Default)]
pub struct RangeView {
    map: Option<Arc<RangeMap>>,
    json: Vec<u8>,
}

impl RangeView {
    /// Returns the view of an entry that has not received a map yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes the map in a store row or message, or returns `None` if it is not valid.
    pub fn from_json(json: &[u8]) -> Option<Self> {
        let map = serde_json::from_slice(json).ok()?;
        Some(Self { map: Some(Arc::new(map)), json: json.to_vec() })
    }

    /// Returns the version of the map, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.map.as_ref().map_or(0, |map| map.version)
    }

    /// Returns the map.
    pub fn map(&self) -> Option<&RangeMap> {
        self.map.as_deref()
    }

    /// Returns the message that sends the map to other processes.
    pub fn message(&self) -> Option<v1::KeyRanges> {
        let map = self.map.as_ref()?;
        Some(v1::KeyRanges { version: map.version, map: self.json.clone() })
    }
}
