//! Encoding of the state of a job as rows of a limited size.

use std::collections::{BTreeMap, BTreeSet};

use crate::{ProgressRow, RowsError};

/// Total size in bytes above which checkpoints are left out of the rows of one job. A transaction
/// is limited to 1 MB in its text encoding, which is a third larger than the rows, and holds the
/// rows of other jobs as well.
const MAX_JOB_BYTES: usize = 240_000;

/// Number of rows of the maximum size above which checkpoints are left out of the rows of one job.
/// Rows are split in half, so that up to twice as many rows are written.
const MAX_FULL_ROWS: usize = 16;

/// Space for the number of further rows, which is known only once the state has been split.
const FURTHER_BYTES: usize = 24;

/// Returns the key of a row of the job `id`. Row 0 has the id as its key.
pub fn progress_key(id: &str, number: usize) -> String {
    if number == 0 { id.to_owned() } else { format!("{id}.{number}") }
}

/// Encodes the state of a job as the values of one or more rows of at most `limit` bytes. If the
/// state is too large even for several rows, the longest checkpoints are left out, and their tasks
/// begin anew after a takeover. The members of a gang have the same checkpoint, so that it is left
/// out for all or for none of them.
pub fn encode_progress(mut row: ProgressRow, limit: usize) -> Vec<Vec<u8>> {
    let whole = encode(&row);
    if whole.len() <= limit {
        return vec![whole];
    }
    let budget = MAX_JOB_BYTES.min(limit.saturating_mul(MAX_FULL_ROWS));
    drop_checkpoints(&mut row, whole.len().saturating_sub(budget));
    let mut parts = split(row, limit.saturating_sub(FURTHER_BYTES));
    let further = parts.len() - 1;
    if let Some(first) = parts.first_mut() {
        first.further = further;
    }
    parts.iter().map(encode).collect()
}

/// Decodes the state of the job `id` from `rows`, which hold the rows of all jobs by key. A job
/// without a row has the default state.
///
/// # Errors
/// [`RowsError`] when a row cannot be read or is missing.
pub fn decode_progress(
    id: &str,
    rows: &BTreeMap<String, Vec<u8>>,
) -> Result<ProgressRow, RowsError> {
    if !rows.contains_key(id) {
        return Ok(ProgressRow::default());
    }
    let mut progress = decode_part(rows, id, 0)?;
    for number in 1..=std::mem::take(&mut progress.further) {
        let part = decode_part(rows, id, number)?;
        let offset = progress.workers.len();
        progress.workers.extend(part.workers);
        progress.crashes.extend(part.crashes);
        progress.exposures.extend(part.exposures);
        progress.tasks.extend(part.tasks.into_iter().map(|mut task| {
            task.worker = task.worker.map(|index| index + offset);
            task
        }));
    }
    Ok(progress)
}

fn decode_part(
    rows: &BTreeMap<String, Vec<u8>>,
    id: &str,
    number: usize,
) -> Result<ProgressRow, RowsError> {
    let key = progress_key(id, number);
    let Some(value) = rows.get(&key) else {
        return Err(RowsError { key, detail: "the row is missing".to_owned() });
    };
    serde_json::from_slice(value).map_err(|error| RowsError { key, detail: error.to_string() })
}

/// Drops the longest checkpoints until at least `excess` bytes are saved. Checkpoints of the same
/// length are dropped together.
fn drop_checkpoints(row: &mut ProgressRow, excess: usize) {
    if excess == 0 {
        return;
    }
    let encoded_length = |checkpoint: &String| encode(checkpoint).len();
    let checkpoints = row.tasks.iter().map(|task| &task.checkpoint);
    let mut lengths: Vec<usize> =
        checkpoints.filter(|checkpoint| !checkpoint.is_empty()).map(encoded_length).collect();
    lengths.sort_unstable();
    let (mut saved, mut shortest) = (0, usize::MAX);
    while saved < excess
        && let Some(length) = lengths.pop()
    {
        saved += length;
        shortest = length;
    }
    for task in &mut row.tasks {
        if encoded_length(&task.checkpoint) >= shortest {
            task.checkpoint.clear();
        }
    }
}

/// Splits the tasks of a row until each part takes at most `limit` bytes or has a single task. The
/// first part keeps the fields that concern the whole job.
fn split(row: ProgressRow, limit: usize) -> Vec<ProgressRow> {
    let mut parts = Vec::new();
    let mut pending = vec![row];
    while let Some(mut part) = pending.pop() {
        if part.tasks.len() < 2 || encode(&part).len() <= limit {
            parts.push(part);
            continue;
        }
        pending.push(split_off_half(&mut part));
        pending.push(part);
    }
    parts
}

/// Moves the second half of the tasks, their crashes and their workers to a new row.
fn split_off_half(row: &mut ProgressRow) -> ProgressRow {
    let tasks = row.tasks.split_off(row.tasks.len() / 2);
    let Some(first_key) = tasks.first().map(|task| task.key) else { return ProgressRow::default() };
    let (crashes, later_crashes) = row.crashes.iter().partition(|crash| crash.key < first_key);
    row.crashes = crashes;
    let (exposures, later_exposures) = row.exposures.iter().partition(|row| row.key < first_key);
    row.exposures = exposures;
    let mut second = ProgressRow {
        crashes: later_crashes,
        exposures: later_exposures,
        tasks,
        workers: row.workers.clone(),
        ..ProgressRow::default()
    };
    remove_unused_workers(row);
    remove_unused_workers(&mut second);
    second
}

fn remove_unused_workers(row: &mut ProgressRow) {
    let used: BTreeSet<usize> = row.tasks.iter().filter_map(|task| task.worker).collect();
    let used: Vec<usize> = used.into_iter().collect();
    for task in &mut row.tasks {
        task.worker = task.worker.and_then(|worker| used.binary_search(&worker).ok());
    }
    row.workers = used.iter().filter_map(|index| row.workers.get(*index).cloned()).collect();
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding cannot fail, because these types have no maps and no custom serializers.
    serde_json::to_vec(value).unwrap_or_default()
}
