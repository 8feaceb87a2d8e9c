//! The caller and the checker.

mod arrivals;
mod checker;
mod judging;
mod running;
mod support;
