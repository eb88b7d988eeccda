//! Placeholder while the crate is being set up.
