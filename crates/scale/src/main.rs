//! Measures the slopes behind `docs/CAPACITY.md`.

fn main() {}
