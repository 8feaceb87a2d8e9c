//! Slopes of the costs of real daemons by fleet size, request rate and size of
//! the text, for the capacity page.

pub mod fit;
pub mod measure;
pub mod text;
pub mod usage;
