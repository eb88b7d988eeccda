//! Tests the request path of a whole deployment under failure. Replies are compared with the
//! executions that the stand-in upstreams count for each idempotency key.

mod at_most_once;
mod attempts;
mod caller;
mod forwarder;
mod leaving;
mod limits;
mod silent;
mod volume;
