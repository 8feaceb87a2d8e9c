//! Open-loop load with a judgement of every answer.

pub mod arrivals;
mod base64;
pub mod exchange;
pub mod judge;
pub mod mix;
mod ready;
pub mod result;
pub mod run;
