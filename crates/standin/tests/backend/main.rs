//! The backend stand-in as a process.

mod faults;
mod rules;
mod serving;
mod support;
