//! Sans-IO core of the coordinator: jobs with steps and tasks, the state of their runs, the fleet
//! of workers, and the decisions on queueing, refusing, placing and preempting.
//!
//! The core receives events with the time at which they happened, and returns rows to write and
//! orders for workers. Orders become visible only after the row that records them is durable. The
//! safety argument is in `docs/platform.md`.

mod admission;
mod advice;
mod agent;
mod agent_calls;
mod clock_reading;
mod closure;
mod coordinator;
mod crash_record;
mod evacuations;
mod eviction;
mod exposure;
mod fleet;
mod headroom;
mod health;
mod job;
mod late_starts;
mod loss_cause;
mod order;
mod pacing;
mod placing;
mod progress;
mod progress_rows;
mod reclaim;
mod row;
mod run_calls;
mod run_times;
mod shares;
mod tables;
mod task;
mod updates;
mod violation;
mod worker;

pub use admission::{
    KnownWorkers, MAX_LATENESS, RefusalCause, WorkAhead, earliest_start, retry_after,
};
pub use advice::{Advice, AdviceAnswer, AdviceCall, StepId};
pub use agent::{AgentCore, MAX_OPEN_CALLS};
pub use agent_calls::{AgentAction, AgentLimits, Listing, RenewalCall, StartAnswer};
pub use closure::Closure;
pub use coordinator::{
    Coordinator, Decision, DecisionKind, DomainSummary, Limits, QueueSummary, ShareCounts,
    Submission, Summary, Timestamp, View, WaitCounts, WorkerSummary,
};
pub use crash_record::CrashRecord;
pub use evacuations::Evacuations;
pub use eviction::{Claim, ClaimDecision, decide_claim};
pub use exposure::Exposure;
pub use fleet::{Fleet, FleetWorker};
pub use headroom::{exclude_emptiest, is_small};
pub use health::{Fault, Health};
pub use job::{Job, JobAccess, JobState, Resources, RouteKey, Schedule, Step};
pub use loss_cause::LossCause;
pub use pacing::Pacer;
pub use placing::{Candidate, Demand, choose_workers};
pub use progress::{RunProgress, find_stalled};
pub use progress_rows::{decode_progress, encode_progress, progress_key};
pub use row::{
    CrashRow, ExposureRow, ProgressRow, RowChange, RowKind, RowsError, TaskRow, WorkerRow,
};
pub use run_times::{
    Estimates, LogNormal, MemberSpeed, Normal, Quantile, RunTime, RunTimes, StepKind, usual_work,
};
pub use shares::Shares;
pub use tables::{
    ClientLimits, Guarantee, JobRoute, JobTables, TablesChange, TablesError, TeamEntry, WorkerPool,
};
pub use task::{TaskId, TaskIdError, TaskKey};
pub use violation::Violation;
pub use worker::{
    EndKind, Orders, RefusalKind, RunEnd, RunRefusal, RunReport, SharingRun, StartOrder,
    WorkerPace, WorkerReport, WorkerStatus,
};
