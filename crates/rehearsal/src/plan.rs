//! The load plan: which messages clients send to the senders and when.
//! The load plan depends only on the scenario and its seed, and is complete before any process starts.

use crate::scenario::Scenario;
use crate::span::Micros;
use crate::trace;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::f64::consts::TAU;

/// Maximum number of messages of a load plan; each message occupies 40 bytes until a client sends it.
pub const MAX_MESSAGES: usize = 4_000_000;

/// Course of the traffic's rate over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// The rate is constant.
    Steady,
    /// The rate changes linearly from one value to another.
    Ramp,
    /// The rate follows a sine wave around a given rate.
    Wave,
    /// The rate changes linearly to a second rate in the first third of the time, and is constant in the second third.
    /// In the last third of the time, the rate changes linearly back to the first rate.
    Rush,
    /// Bursts of messages, each for one receiver, start at regular intervals.
    Clumps,
    /// Captured traffic is replayed.
    Replay,
}

impl Shape {
    /// Returns the fields that the traffic's shape requires, and the fields that the shape also allows.
    pub fn fields(self) -> (&'static [&'static str], &'static [&'static str]) {
        match self {
            Shape::Steady => (&["rate"], &["zipf"]),
            Shape::Ramp | Shape::Rush => (&["rate", "to_rate"], &["zipf"]),
            Shape::Wave => (&["rate", "swing", "period"], &["zipf"]),
            Shape::Clumps => (&["clump", "period"], &["zipf"]),
            Shape::Replay => (&["file"], &["speed"]),
        }
    }
}

/// The traffic of one `[[traffic]]` table, with a shape and a time of its own.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Course of the traffic's rate over time.
    pub shape: Shape,
    /// When the traffic of this `[[traffic]]` table starts.
    pub from: Micros,
    /// When the traffic of this `[[traffic]]` table ends.
    pub to: Micros,
    /// Rate of the traffic in messages per second.
    pub rate: f64,
    /// Second rate of a ramp or rush, in messages per second.
    pub to_rate: f64,
    /// Period of a wave, or time between the starts of two bursts (shape `clumps`).
    pub period: Micros,
    /// Amplitude of a wave, as a share of the traffic's rate.
    pub swing: f64,
    /// Number of messages in each burst (shape `clumps`).
    pub clump: u32,
    /// Zipf exponent. If given, receivers are drawn by their rank and not by their shares of the traffic.
    pub zipf: Option<f64>,
    /// Index of the class to which the traffic is limited, if any.
    pub class: Option<usize>,
    /// Index of the tenant to which the traffic is limited, if any.
    pub tenant: Option<usize>,
    /// Number of the receiver to which the traffic is limited, if any.
    pub receiver: Option<i64>,
    /// Captured messages that the traffic replays.
    pub trace: Vec<trace::Line>,
    /// Speed of the replay, as a multiple of the captured speed.
    pub speed: f64,
}

impl Traffic {
    /// Returns the rate in messages per second at time `t` of the run.
    fn rate_at(&self, t: Micros) -> f64 {
        let part = (t - self.from) as f64 / (self.to - self.from).max(1) as f64;
        let between = |x: f64| self.rate + (self.to_rate - self.rate) * x.clamp(0.0, 1.0);
        match self.shape {
            Shape::Steady => self.rate,
            Shape::Ramp => between(part),
            Shape::Rush if part < 1.0 / 3.0 => between(part * 3.0),
            Shape::Rush => between((1.0 - part) * 3.0),
            Shape::Wave => {
                self.rate
                    * (1.0 + self.swing * (TAU * (t - self.from) as f64 / self.period.max(1) as f64).sin())
            }
            Shape::Clumps | Shape::Replay => 0.0,
        }
    }

    /// Returns the mean rate in messages per second over the whole run.
    pub fn mean_rate(&self, length: Micros) -> f64 {
        const STEPS: i64 = 100;
        let whole = length.max(1) as f64;
        match self.shape {
            Shape::Clumps => {
                f64::from(self.clump) * (self.to - self.from) as f64 / self.period.max(1) as f64 / whole * 1e6
            }
            Shape::Replay => self.trace.len() as f64 / whole * 1e6,
            _ => {
                let span = self.to - self.from;
                let rates = (0..STEPS).map(|n| self.rate_at(self.from + span * n / STEPS));
                rates.sum::<f64>() / STEPS as f64 * span as f64 / whole
            }
        }
    }
}

/// A planned message: when a client sends it, to which sender, and for which receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// When the client sends the message, in microseconds since the start of the traffic.
    pub at: Micros,
    /// Index of the sender to which the client sends the message.
    pub sender: usize,
    /// Index of the message's class.
    pub class: usize,
    /// Index of the message's tenant.
    pub tenant: usize,
    /// Index of the receiver that the message is for.
    pub receiver: usize,
    /// Number of the message's order key; used in ordered classes only.
    pub order: u32,
    /// Size of the message's body in bytes.
    pub size: u32,
    /// Random number from 0 to 1 that decides how the client of the message behaves.
    pub client_draw: f32,
}

/// Reason why no load plan can be made.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The load plan has more than [`MAX_MESSAGES`] messages.
    #[error("the plan has more than {MAX_MESSAGES} messages; lower the rates or shorten the scenario")]
    TooLong,
    /// A trace names a class, tenant or receiver that the scenario does not have.
    #[error(
        "the trace's message at {at_ms} ms names the {what} '{name}', which the scenario lacks; add it there"
    )]
    Unknown {
        /// The message's time in the trace, in milliseconds.
        at_ms: u64,
        /// What the name stands for: `class`, `tenant` or `receiver`.
        what: &'static str,
        /// The name or number that the scenario does not have.
        name: String,
    },
}

/// Draws a random index. The weight of each index is the amount by which `cumulative` grows at the index.
fn draw(rng: &mut ChaCha8Rng, cumulative: &[f64]) -> usize {
    let total = cumulative.last().copied().unwrap_or(0.0);
    let x = rng.random::<f64>() * total;
    cumulative.partition_point(|s| *s <= x).min(cumulative.len().saturating_sub(1))
}

fn cumulative(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut total = 0.0;
    let add = |w: f64| {
        total += w;
        total
    };
    weights.map(add).collect()
}

/// Makes the load plan: all messages, sorted by time.
///
/// # Errors
/// Fails if the load plan is too long, or a trace names a class, tenant or receiver that the scenario lacks.
pub fn plan(scenario: &Scenario) -> Result<Vec<Planned>, PlanError> {
    let mut all = Vec::new();
    for (n, traffic) in scenario.traffic.iter().enumerate() {
        // Each `[[traffic]]` table has its own random generator.
        // Adding a table therefore does not change the messages of the other tables.
        let rng = ChaCha8Rng::seed_from_u64(
            scenario.parameters.seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        );
        plan_traffic(scenario, traffic, rng, &mut all)?;
    }
    all.sort_by_key(|p| p.at);
    Ok(all)
}

fn plan_traffic(
    scenario: &Scenario,
    traffic: &Traffic,
    mut rng: ChaCha8Rng,
    all: &mut Vec<Planned>,
) -> Result<(), PlanError> {
    let classes = cumulative(scenario.classes.iter().map(|c| c.share));
    let tenants = cumulative(scenario.tenant_shares.iter().copied());
    let senders = cumulative(scenario.senders.iter().map(|s| s.share));
    let weight = |n: usize| match traffic.zipf {
        Some(exponent) => (n as f64 + 1.0).powf(-exponent),
        None => scenario.receivers[n].share,
    };
    // For each class, the cumulative weights of the receivers to which its messages may be sent.
    let by_class: Vec<Vec<f64>> = scenario
        .classes
        .iter()
        .map(|c| {
            let fits = |n: usize| c.kinds.is_empty() || c.kinds.contains(&scenario.receivers[n].kind);
            cumulative((0..scenario.receivers.len()).map(|n| if fits(n) { weight(n) } else { 0.0 }))
        })
        .collect();
    let only_receiver =
        traffic.receiver.and_then(|number| scenario.receivers.iter().position(|r| r.number == number));
    let mut add_message = |rng: &mut ChaCha8Rng,
                           at: Micros,
                           receiver: Option<usize>,
                           captured: Option<(usize, usize, u32)>| {
        let mut class = captured.map(|t| t.0).or(traffic.class).unwrap_or_else(|| draw(rng, &classes));
        let receiver = receiver.or(only_receiver).unwrap_or_else(|| draw(rng, &by_class[class]));
        // If the receiver does not accept the drawn class, draws again among the classes that the receiver accepts.
        let fits = |c: usize| {
            scenario.classes[c].kinds.is_empty()
                || scenario.classes[c].kinds.contains(&scenario.receivers[receiver].kind)
        };
        if !fits(class) && traffic.class.is_none() && captured.is_none() {
            class = draw(
                rng,
                &cumulative(
                    (0..scenario.classes.len())
                        .map(|c| if fits(c) { scenario.classes[c].share } else { 0.0 }),
                ),
            );
        }
        let class_settings = &scenario.classes[class];
        let planned = Planned {
            at,
            sender: draw(rng, &senders),
            class,
            tenant: captured.map(|t| t.1).or(traffic.tenant).unwrap_or_else(|| draw(rng, &tenants)),
            receiver,
            order: rng.random_range(0..class_settings.order_keys),
            size: captured
                .map_or_else(|| rng.random_range(class_settings.size[0]..=class_settings.size[1]), |t| t.2),
            client_draw: rng.random(),
        };
        all.push(planned);
        if all.len() > MAX_MESSAGES { Err(PlanError::TooLong) } else { Ok(()) }
    };
    match traffic.shape {
        Shape::Replay => {
            for line in &traffic.trace {
                let at = traffic.from + (line.at_ms as f64 * 1000.0 / traffic.speed) as Micros;
                if at >= traffic.to {
                    break;
                }
                let unknown =
                    |what, name: &str| PlanError::Unknown { at_ms: line.at_ms, what, name: name.into() };
                let class = scenario.parameters.classes.iter().position(|c| c.name == line.class);
                let tenant = scenario.parameters.tenants.iter().position(|t| t.name == line.tenant);
                let receiver = scenario.receivers.iter().position(|r| r.number == line.receiver);
                let class = class.ok_or_else(|| unknown("class", &line.class))?;
                let tenant = tenant.ok_or_else(|| unknown("tenant", &line.tenant))?;
                let receiver = receiver.ok_or_else(|| unknown("receiver", &line.receiver.to_string()))?;
                add_message(&mut rng, at, Some(receiver), Some((class, tenant, line.size)))?;
            }
        }
        Shape::Clumps => {
            let mut at = traffic.from;
            while at < traffic.to {
                let class = draw(&mut rng, &classes);
                let receiver = only_receiver.unwrap_or_else(|| draw(&mut rng, &by_class[class]));
                for _ in 0..traffic.clump {
                    add_message(&mut rng, at, Some(receiver), None)?;
                }
                at += traffic.period;
            }
        }
        _ => {
            // Draws a Poisson process at the highest rate, and thins it to the rate at each time.
            let max_rate = traffic.rate.max(traffic.to_rate) * (1.0 + traffic.swing);
            let mut t = traffic.from as f64;
            if max_rate <= 0.0 {
                return Ok(());
            }
            loop {
                t += -(1.0 - rng.random::<f64>()).ln() / max_rate * 1e6;
                if t >= traffic.to as f64 {
                    break;
                }
                if rng.random::<f64>() * max_rate < traffic.rate_at(t as Micros) {
                    add_message(&mut rng, t as Micros, None, None)?;
                }
            }
        }
    }
    Ok(())
}
