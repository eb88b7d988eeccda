use skylarkpulley_proto::v1;
use skylarkpulley_store::Row;

/// Returns the key of the store row of a job.
pub(crate) fn job_row_key(id: &str) -> String {
    format!("jobs/{id}")
}

/// Returns the job record in a store row, and the version of the row.
pub(crate) fn row_to_copy(row: &Row) -> (v1::JobCopy, u64) {
    let copy = v1::JobCopy { value: row.value.to_vec(), ..v1::JobCopy::default() };
    (copy, row.version)
}
