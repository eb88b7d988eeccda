use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};

/// Name of a record of the transactional tables.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{table}/{key}")]
pub struct RecordKey {
    /// Table.
    pub table: String,
    /// Key within the table.
    pub key: String,
}

impl RecordKey {
    /// Returns the name of the record `key` of `table`.
    pub fn new(table: &str, key: &str) -> Self {
        Self { table: table.to_owned(), key: key.to_owned() }
    }
}

/// A record as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Name.
    pub key: RecordKey,
    /// Content.
    pub value: Bytes,
    /// Version; increases with every change of the store.
    pub version: u64,
}

/// Changes that are applied atomically.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Records to delete.
    pub deletes: Vec<RecordKey>,
    /// Versions that records must have for the changes to be applied; 0 means absent.
    pub expected_versions: Vec<(RecordKey, u64)>,
    /// Records to write.
    pub puts: Vec<(RecordKey, Bytes)>,
}

/// Outcome of a transaction to which the store answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// All changes are stored.
    Committed {
        /// A store version that is not lower than the version of the changes.
        version: u64,
    },
    /// A record does not have its expected version; nothing was changed.
    Conflict {
        /// Current state of the records in [`Transaction::expected_versions`]; absent records are
        /// left out.
        found: Vec<Record>,
    },
}

/// One page of a table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Whether more records follow.
    pub has_more: bool,
    /// Records in ascending order of keys.
    pub records: Vec<Record>,
}

/// Why a call has no result.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TransactError {
    /// The store refused the call, which had no effect.
    #[display("the store refused the call, which had no effect: {detail}")]
    Refused {
        /// Cause of the failure.
        detail: String,
    },
    /// The store refused the call for its content. It had no effect, and will never be accepted.
    #[display("the store rejected the call for its content: {detail}")]
    Rejected {
        /// Cause of the failure.
        detail: String,
    },
    /// No answer was received. The call may have taken effect, or may still take effect while the
    /// records have their expected versions.
    #[display("the store did not answer, the call may have taken effect: {detail}")]
    Unanswered {
        /// Cause of the failure.
        detail: String,
    },
    /// The answer cannot be decoded.
    #[display("the answer of the store cannot be decoded: {detail}")]
    Malformed {
        /// What is malformed.
        detail: String,
    },
}

/// Store of tables with transactions over several records of one partition. Implementations never
/// send a call twice.
#[async_trait]
pub trait Transactor: Send + Sync {
    /// Applies `transaction` when all records have their expected versions.
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError>;

    /// Reads one record, `None` when it is absent.
    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError>;

    /// Reads one page of the records of `table` whose key is greater than `after`, in ascending
    /// order of keys.
    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError>;
}
