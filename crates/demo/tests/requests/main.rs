//! The request path of an assembled deployment under failure. The executions that the stand-in
//! upstreams count for each idempotency key are the truth that replies are compared with.

mod at_most_once;
mod attempts;
mod caller;
mod forwarder;
mod leaving;
mod limits;
mod silent;
mod volume;
