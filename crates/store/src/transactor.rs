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
    /// Version; rises with every change of the store.
    pub version: u64,
}

/// Changes that are applied together or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Records to delete.
    pub deletes: Vec<RecordKey>,
    /// Versions that records must have; 0 means absent.
    pub expected_versions: Vec<(RecordKey, u64)>,
    /// Records to write.
    pub puts: Vec<(RecordKey, Bytes)>,
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// All changes are stored at this version.
    Committed {
        /// A version that is not lower than that of the changes.
        version: u64,
    },
    /// An expectation does not hold; nothing was changed.
    Conflict {
        /// The expected records as they are.
        found: Vec<Record>,
    },
}

/// One page of a table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Whether more records follow.
    pub has_more: bool,
    /// Records by ascending key.
    pub records: Vec<Record>,
}

/// Why a call has no outcome.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TransactError {
    /// The store refused the call; nothing was done.
    #[display("store refused: {detail}")]
    Refused {
        /// Cause.
        detail: String,
    },
    /// No answer; the call may have taken effect, or may still while its expectations hold.
    #[display("no answer from the store: {detail}")]
    Unanswered {
        /// Cause.
        detail: String,
    },
    /// The answer cannot be read.
    #[display("unreadable answer from the store: {detail}")]
    Malformed {
        /// What was wrong.
        detail: String,
    },
}

/// Tables with transactions over several records of one partition. Implementations never send a
/// call twice.
#[async_trait]
pub trait Transactor: Send + Sync {
    /// Applies `transaction`.
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError>;

    /// Reads one record.
    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError>;

    /// Reads records of `table` whose key is greater than `after`, in order.
    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError>;
}
