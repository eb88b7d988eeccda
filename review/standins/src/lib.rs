//! Stand-ins of the platform for the cases of the review: the store, the workers with the network
//! between them and their agents, the callers, and the processes of the system under test. All
//! addresses are loopback addresses.

pub mod advice;
pub mod http;
pub mod record;
pub mod store;
pub mod system;
pub mod worker;
