//! The scenario file as the operator wrote it, before it is checked.

use super::class::RawClass;
use super::kind::Kind;
use super::receiver::RawReceiver;
use super::rules::RawRules;
use super::sender::RawSender;
use super::settings::{Clients, Directory, Network, SenderSettings};
use super::tenant::RawTenant;
use super::traffic::RawTraffic;
use crate::event::RawEvent;
use crate::span::Span;
use serde::Deserialize;
use std::ops::Range;
use toml::Spanned;

/// An optional table of a scenario, with its position in the file.
#[derive(Deserialize)]
#[serde(from = "Spanned<T>", bound = "T: Deserialize<'de>")]
pub(super) struct Section<T> {
    pub(super) span: Range<usize>,
    pub(super) value: T,
}

impl<T> From<Spanned<T>> for Section<T> {
    fn from(spanned: Spanned<T>) -> Self {
        Section { span: spanned.span(), value: spanned.into_inner() }
    }
}

impl<T: Default> Default for Section<T> {
    fn default() -> Self {
        Section { span: 0..0, value: T::default() }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Raw {
    pub(super) name: String,
    #[serde(default)]
    pub(super) about: String,
    #[serde(default)]
    pub(super) seed: u64,
    pub(super) length: Spanned<Span>,
    #[serde(default)]
    pub(super) rules: Section<RawRules>,
    #[serde(default)]
    pub(super) network: Section<Network>,
    #[serde(default)]
    pub(super) settings: SenderSettings,
    #[serde(default)]
    pub(super) directory: Directory,
    #[serde(default)]
    pub(super) clients: Section<Clients>,
    pub(super) class: Spanned<Vec<RawClass>>,
    #[serde(default)]
    pub(super) tenant: Vec<RawTenant>,
    pub(super) kind: Vec<Spanned<Kind>>,
    pub(super) receiver: Spanned<Vec<RawReceiver>>,
    pub(super) sender: Spanned<Vec<RawSender>>,
    pub(super) traffic: Vec<Spanned<RawTraffic>>,
    #[serde(default)]
    pub(super) event: Vec<Spanned<RawEvent>>,
}
