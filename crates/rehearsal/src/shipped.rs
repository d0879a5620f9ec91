//! The scenarios that ship with the kit, under `rehearsals/` in the sources.

/// A shipped scenario.
#[derive(Clone, Copy, Debug)]
pub struct Shipped {
    /// Its name.
    pub name: &'static str,
    /// Its text.
    pub text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),+ $(,)?) => {
        &[$(Shipped { name: $name, text: include_str!(concat!("../../../rehearsals/", $name, ".toml")) }),+]
    };
}

/// All of them. The first is played where none is named.
pub const ALL: &[Shipped] = shipped![
    "evening-rush",
    "calm",
    "slow-partner",
    "hung-partner",
    "rolling-replacement",
    "directory-lag",
    "cold-return",
    "restart-storm",
    "late-answer",
    "kept-order",
    "return-herd",
    "return-wide",
    "return-many",
    "deploy-all",
    "return-restart",
    "wide-load",
    "operators-day",
    "replacements",
    "fleet-calm",
    "fleet-troubles",
];

/// The one with this name.
pub fn find(name: &str) -> Option<&'static Shipped> {
    ALL.iter().find(|s| s.name == name)
}
