//! Default values of scenario fields, for serde.

use crate::span::Span;

pub(super) fn one() -> f64 {
    1.0
}

pub(super) fn one_message() -> u32 {
    1
}

pub(super) fn half() -> f64 {
    0.5
}
pub(super) fn waits() -> [Span; 2] {
    [Span::ms(250), Span::ms(940)]
}
pub(super) fn queue() -> usize {
    8
}
pub(super) fn fifth() -> f64 {
    0.2
}
pub(super) fn warm() -> Span {
    Span::ms(10_000)
}

pub(super) fn memory() -> f64 {
    192.0
}
pub(super) fn sockets() -> usize {
    1024
}
pub(super) fn disk() -> f64 {
    3.0
}
