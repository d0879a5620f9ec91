//! The settings that a sender is started with, as written in its configuration and on the wire.

use heronroute::{
    ClassSettings, DedupScope, Effect, KindSettings, LateDecay, Micros, Settings, SettingsError,
    TenantSettings, WeightMeaning,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Profile {
    name: String,
    effect: String,
    group: String,
    hard_limit_us: Micros,
    objective_us: Micros,
    window_us: Micros,
    late_share: f64,
    worth: f64,
    serial_by_key: bool,
}

impl Default for Profile {
    fn default() -> Self {
        let defaults = ClassSettings::default();
        Profile {
            name: String::new(),
            effect: "single_shot".into(),
            group: "all".into(),
            hard_limit_us: defaults.deadline,
            objective_us: defaults.aim,
            window_us: defaults.window,
            late_share: defaults.late_share,
            worth: defaults.worth,
            serial_by_key: false,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    batch_by_kind: Vec<u32>,
    kind_apart: Vec<bool>,
    carriage: Vec<f64>,
    late: String,
    workers: Option<u32>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    cancel: bool,
    connect_timeout_us: Option<Micros>,
    idle_close_us: Option<Micros>,
    max_attempts: Option<u32>,
    max_open: Option<u32>,
    max_retry_after_us: Micros,
    peers: bool,
    probes: bool,
    second_copies: bool,
    streams_per_conn: Option<u32>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Rules {
    drain_grace_us: Micros,
    fall_multiple: Option<f64>,
    fall_us: Option<Micros>,
    ask_every_us: Option<Micros>,
    cold_from: Option<f64>,
    warm_up_us: Option<Micros>,
    order_settle_us: Micros,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Customer {
    name: String,
    quota_rps: f64,
}

/// Returns the path, within the configuration's settings, of the value that caused an error.
pub fn setting_path(error: &SettingsError) -> String {
    if let Some(class) = error.class {
        let field = match error.field {
            "aim" => "ObjectiveUs",
            "deadline" => "HardLimitUs",
            "window" => "WindowUs",
            "worth" => "Worth",
            "late_share" => "LateShare",
            other => other,
        };
        return format!("Profiles[{class}].{field}");
    }
    match error.field {
        "slots" => "FamilyInfo.Workers",
        "max_open" => "Limits.MaxOpen",
        "max_attempts" => "Limits.MaxAttempts",
        "senders" => "Balancers",
        "quantum" => "QuantumUs",
        "drain_grace" => "Rules.DrainGraceUs",
        "fall_window" => "Rules.FallUs",
        "warm_up" => "Rules.WarmUpUs",
        "order_settle" => "Rules.OrderSettleUs",
        "fall_multiple" => "Rules.FallMultiple",
        "cold_from" => "Rules.ColdFrom",
        "over_share_worth" => "OverShareWorth",
        other => other,
    }
    .into()
}

/// The names of classes, tenants, zones and kinds, in the order of their indices.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the message classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of destination.
    pub kinds: Vec<String>,
}

/// The settings as written in the configuration and on the wire.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ProfileData {
    azs: Vec<String>,
    balancers: Option<u32>,
    discovery: String,
    customers: Option<Vec<Customer>>,
    family_info: FamilyInfo,
    limits: Limits,
    over_share_worth: Option<f64>,
    prices: Prices,
    profiles: Vec<Profile>,
    quantum_us: Micros,
    rules: Rules,
    shapes: Vec<String>,
    weights: String,
    zone: usize,
}

impl ProfileData {
    /// Returns the names of the classes, tenants, zones and kinds that the settings refer to by index.
    pub fn names(&self) -> Names {
        let customers = self.customers.iter().flatten();
        Names {
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: customers.map(|c| c.name.clone()).collect(),
            zones: self.azs.clone(),
            kinds: self.shapes.clone(),
        }
    }

    /// Returns the maximum time for a connection attempt.
    pub fn connect_timeout(&self) -> Option<Micros> {
        self.limits.connect_timeout_us
    }

    /// Returns the minimum interval between polls of discovery, which limits the work of discovery.
    /// Returns `None` unless discovery reports changes only in reply to polls.
    pub fn poll_interval(&self) -> Option<Micros> {
        self.rules.ask_every_us.filter(|_| self.discovery == "ask")
    }

    /// Converts the settings to the settings of heronroute. A missing setting gets heronroute's default.
    pub fn settings(self) -> Settings {
        let defaults = Settings::default();
        let attempts = self.limits.max_attempts;
        let class = |profile: Profile| ClassSettings {
            max_attempts: attempts,
            aim: profile.objective_us,
            deadline: profile.hard_limit_us,
            effect: match profile.effect.as_str() {
                "free" => Effect::Safe,
                "guarded" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            dedup_scope: match profile.group.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                _ => DedupScope::Endpoint,
            },
            window: profile.window_us,
            ordered: profile.serial_by_key,
            worth: profile.worth,
            late_share: profile.late_share,
        };
        let family = self.family_info;
        let kinds = self.shapes.len().max(family.batch_by_kind.len()).max(family.kind_apart.len());
        let kind = |kind: usize| KindSettings {
            max_batch: family.batch_by_kind.get(kind).copied().unwrap_or(1).max(1),
            separate_routes: family.kind_apart.get(kind).copied().unwrap_or(false),
        };
        Settings {
            senders: self.balancers.unwrap_or(defaults.senders),
            zone: self.zone,
            slots: family.workers.unwrap_or(defaults.slots),
            max_open: self.limits.max_open.unwrap_or(defaults.max_open),
            max_attempts: self.limits.max_attempts.unwrap_or(defaults.max_attempts),
            second_copies: self.limits.second_copies,
            cancel: self.limits.cancel,
            probes: self.limits.probes,
            peers: self.limits.peers,
            max_retry_after: self.limits.max_retry_after_us,
            idle_close: self.limits.idle_close_us.unwrap_or(defaults.idle_close),
            reuses_connections: defaults.reuses_connections,
            streams_per_conn: self.limits.streams_per_conn.unwrap_or(defaults.streams_per_conn),
            quantum: self.quantum_us,
            drain_grace: self.rules.drain_grace_us,
            fall_multiple: self.rules.fall_multiple.unwrap_or(defaults.fall_multiple),
            fall_window: self.rules.fall_us.unwrap_or(defaults.fall_window),
            cold_from: self.rules.cold_from.unwrap_or(defaults.cold_from),
            warm_up: self.rules.warm_up_us.unwrap_or(defaults.warm_up),
            order_settle: self.rules.order_settle_us,
            late_decay: if family.late == "halves" { LateDecay::Halving } else { LateDecay::Linear },
            over_share_worth: self.over_share_worth.unwrap_or(defaults.over_share_worth),
            weights: match self.weights.as_str() {
                "nominal" => WeightMeaning::Nominal,
                "rough" => WeightMeaning::Approximate,
                _ => WeightMeaning::Ignored,
            },
            cross_zone_price: self.prices.cross_zone,
            handshake_price: self.prices.handshake,
            zone_fees: family.carriage.clone(),
            classes: self.profiles.into_iter().map(class).collect(),
            kinds: (0..kinds).map(kind).collect(),
            tenants: self
                .customers
                .unwrap_or_default()
                .iter()
                .map(|c| TenantSettings { quota: c.quota_rps })
                .collect(),
        }
    }
}
