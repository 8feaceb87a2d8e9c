//! Placeholder.

pub mod border;
pub mod settings;
pub mod text;
