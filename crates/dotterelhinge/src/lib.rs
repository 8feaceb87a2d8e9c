//! Placeholder.

pub mod border;
pub mod ctl;
pub mod settings;
pub mod text;
