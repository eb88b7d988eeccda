use std::io::{Read, Write};
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use skylarkpulley_jobs::JobTables;

use crate::tables_task::versions;

/// Maximum size of decoded tables in bytes. An entry has 120 MB of memory or more.
const MAX_DECODED_BYTES: u64 = 32 << 20;

/// Tables that cannot be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum TablesCodecError {
    /// The compressed form is not valid.
    #[display("tables cannot be compressed or decompressed: {_0}")]
    Compression(std::io::Error),
    /// The JSON is not valid.
    #[display("tables are not valid JSON: {_0}")]
    Json(serde_json::Error),
}

/// Encodes tables for other entries. Keeps the latest result, because all entries ask for a new version
/// at about the same time.
#[derive(Debug, Default)]
pub struct TablesEncoder {
    latest: Mutex<Option<EncodedTables>>,
}

#[derive(Debug)]
struct EncodedTables {
    bytes: Bytes,
    versions: (u64, u64),
}

impl TablesEncoder {
    /// Returns an encoder without a kept result.
    pub fn new() -> Self {
        Self::default()
    }

    /// Encodes what is newer in `tables` than the versions `known` of the receiver. Evacuated failure
    /// domains change without the tables, and are then encoded alone.
    ///
    /// # Errors
    /// [`TablesCodecError`] when the tables cannot be written as JSON.
    pub fn encode(&self, tables: &JobTables, known: (u64, u64)) -> Result<Bytes, TablesCodecError> {
        if tables.version <= known.0 {
            let evacuated = tables.evacuated.clone();
            return compress(&JobTables { evacuated, ..JobTables::default() });
        }
        let versions = versions(tables);
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(encoded) = latest.as_ref().filter(|encoded| encoded.versions == versions) {
            return Ok(encoded.bytes.clone());
        }
        let bytes = compress(tables)?;
        *latest = Some(EncodedTables { bytes: bytes.clone(), versions });
        Ok(bytes)
    }
}

fn compress(tables: &JobTables) -> Result<Bytes, TablesCodecError> {
    let json = serde_json::to_vec(tables)?;
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?.into())
}

/// Decodes what [`TablesEncoder::encode`] returns.
///
/// # Errors
/// [`TablesCodecError`] when the bytes are not valid, or hold more than [`MAX_DECODED_BYTES`].
pub fn decode_tables(bytes: &[u8]) -> Result<JobTables, TablesCodecError> {
    let mut json = Vec::new();
    GzDecoder::new(bytes).take(MAX_DECODED_BYTES).read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
