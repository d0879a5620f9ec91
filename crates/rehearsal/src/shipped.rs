//! The scenarios that are compiled into `rehearse`, from `rehearsals/` in the source tree.

/// A scenario that is compiled into `rehearse`.
#[derive(Clone, Copy, Debug)]
pub struct Shipped {
    /// Name of the shipped scenario.
    pub name: &'static str,
    /// Text of the shipped scenario's TOML file.
    pub text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),+ $(,)?) => {
        &[$(Shipped { name: $name, text: include_str!(concat!("../../../rehearsals/", $name, ".toml")) }),+]
    };
}

/// All shipped scenarios. `rehearse` runs the first scenario of the list by default.
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
    "repeated-answers",
    "repeated-confirmations",
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

/// Returns the shipped scenario with the given name.
pub fn find(name: &str) -> Option<&'static Shipped> {
    ALL.iter().find(|s| s.name == name)
}
