//! Types of documents that enter the process, generated from the JSON Schemas
//! in `schema/`. They hold what a document says; the modules that load it turn
//! it into their own types.

#[allow(missing_docs, unreachable_pub, dead_code, clippy::all, rustdoc::all)]
#[rustfmt::skip]
pub mod text;

#[allow(missing_docs, unreachable_pub, dead_code, clippy::all, rustdoc::all)]
#[rustfmt::skip]
pub mod settings;
