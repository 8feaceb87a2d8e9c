//! Cost of taking an outcome into account.

fn main() {}
