//! The caller and the checker.

mod arrivals;
mod checker;
mod judging;
mod plotting;
mod running;
mod support;
