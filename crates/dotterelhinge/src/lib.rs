//! Placeholder.

pub mod border;
pub mod text;
