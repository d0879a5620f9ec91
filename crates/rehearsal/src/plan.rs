//! What is handed in and when: a function of the scenario and its seed, made before anything starts.

use crate::scenario::Scenario;
use crate::span::Micros;
use crate::trace;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::f64::consts::TAU;

/// Messages of a plan at most; each takes 40 bytes until it is handed in.
pub const MAX_MESSAGES: usize = 4_000_000;

/// How traffic goes over its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// At one rate.
    Steady,
    /// From one rate evenly to another.
    Ramp,
    /// Up and down around a rate.
    Wave,
    /// From a rate up to another in the first third, held there for the second, and down again.
    Rush,
    /// So many messages for one receiver at once, every so often.
    Clumps,
    /// As it was captured.
    Replay,
}

impl Shape {
    /// The fields that it needs, and those that it may have beside them.
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

/// One piece of a scenario's traffic.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// How it goes over its time.
    pub shape: Shape,
    /// From when.
    pub from: Micros,
    /// Until when.
    pub to: Micros,
    /// Messages a second.
    pub rate: f64,
    /// The other rate of a ramp or rush.
    pub to_rate: f64,
    /// A wave's length, or the time between clumps.
    pub period: Micros,
    /// How far a wave goes up and down, as a share of its rate.
    pub swing: f64,
    /// Messages of a clump.
    pub clump: u32,
    /// The receivers' shares go by this exponent of their rank and not by what each says.
    pub zipf: Option<f64>,
    /// Of this class only, by index.
    pub class: Option<usize>,
    /// Of this tenant only, by index.
    pub tenant: Option<usize>,
    /// For this receiver only, by number.
    pub receiver: Option<i64>,
    /// What was captured.
    pub trace: Vec<trace::Line>,
    /// How many times faster it is replayed.
    pub speed: f64,
}

impl Traffic {
    /// Messages a second at a time of the run.
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

    /// Messages a second over the whole run.
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

/// A message that is to be handed in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// When.
    pub at: Micros,
    /// To which sender, by index.
    pub sender: usize,
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: usize,
    /// Its receiver, by index.
    pub receiver: usize,
    /// What it is about, in a class that keeps order.
    pub order: u32,
    /// Bytes of its body.
    pub size: u32,
    /// What is drawn for its client, from 0 to 1.
    pub client_draw: f32,
}

/// A plan that can't be made.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// It is too long.
    #[error("more than {MAX_MESSAGES} messages; lower the rates or shorten the scenario")]
    TooLong,
    /// A trace names what the scenario lacks.
    #[error("the trace's message at {at_ms} ms names the {what} '{name}'; add it to the scenario")]
    Unknown {
        /// When.
        at_ms: u64,
        /// A class, tenant or receiver.
        what: &'static str,
        /// Which.
        name: String,
    },
}

/// Draws an index by weights, whose sums so far these are.
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

/// Makes the plan, by time.
///
/// # Errors
/// It is too long, or a trace does not fit the scenario.
pub fn plan(scenario: &Scenario) -> Result<Vec<Planned>, PlanError> {
    let mut all = Vec::new();
    for (n, traffic) in scenario.traffic.iter().enumerate() {
        // Each piece draws for itself: another beside it changes nothing.
        let rng = ChaCha8Rng::seed_from_u64(
            scenario.parameters.seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        );
        piece(scenario, traffic, rng, &mut all)?;
    }
    all.sort_by_key(|p| p.at);
    Ok(all)
}

fn piece(
    s: &Scenario,
    traffic: &Traffic,
    mut rng: ChaCha8Rng,
    all: &mut Vec<Planned>,
) -> Result<(), PlanError> {
    let classes = cumulative(s.classes.iter().map(|c| c.share));
    let tenants = cumulative(s.tenant_shares.iter().copied());
    let senders = cumulative(s.senders.iter().map(|s| s.share));
    let weight = |n: usize| match traffic.zipf {
        Some(exponent) => (n as f64 + 1.0).powf(-exponent),
        None => s.receivers[n].share,
    };
    // For each class, the receivers that its messages may go to.
    let by_class: Vec<Vec<f64>> = s
        .classes
        .iter()
        .map(|c| {
            let fits = |n: usize| c.kinds.is_empty() || c.kinds.contains(&s.receivers[n].kind);
            cumulative((0..s.receivers.len()).map(|n| if fits(n) { weight(n) } else { 0.0 }))
        })
        .collect();
    let only = traffic.receiver.and_then(|number| s.receivers.iter().position(|r| r.number == number));
    let mut make =
        |rng: &mut ChaCha8Rng, at: Micros, receiver: Option<usize>, captured: Option<(usize, usize, u32)>| {
            let mut class = captured.map(|t| t.0).or(traffic.class).unwrap_or_else(|| draw(rng, &classes));
            let receiver = receiver.or(only).unwrap_or_else(|| draw(rng, &by_class[class]));
            // One receiver's traffic has only classes that may go there.
            let fits = |c: usize| {
                s.classes[c].kinds.is_empty() || s.classes[c].kinds.contains(&s.receivers[receiver].kind)
            };
            if !fits(class) && traffic.class.is_none() && captured.is_none() {
                class = draw(
                    rng,
                    &cumulative((0..s.classes.len()).map(|c| if fits(c) { s.classes[c].share } else { 0.0 })),
                );
            }
            let c = &s.classes[class];
            let planned = Planned {
                at,
                sender: draw(rng, &senders),
                class,
                tenant: captured.map(|t| t.1).or(traffic.tenant).unwrap_or_else(|| draw(rng, &tenants)),
                receiver,
                order: rng.random_range(0..c.order_keys),
                size: captured.map_or_else(|| rng.random_range(c.size[0]..=c.size[1]), |t| t.2),
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
                let class = s.parameters.classes.iter().position(|c| c.name == line.class);
                let tenant = s.parameters.tenants.iter().position(|t| t.name == line.tenant);
                let receiver = s.receivers.iter().position(|r| r.number == line.receiver);
                let class = class.ok_or_else(|| unknown("class", &line.class))?;
                let tenant = tenant.ok_or_else(|| unknown("tenant", &line.tenant))?;
                let receiver = receiver.ok_or_else(|| unknown("receiver", &line.receiver.to_string()))?;
                make(&mut rng, at, Some(receiver), Some((class, tenant, line.size)))?;
            }
        }
        Shape::Clumps => {
            let mut at = traffic.from;
            while at < traffic.to {
                let class = draw(&mut rng, &classes);
                let receiver = only.unwrap_or_else(|| draw(&mut rng, &by_class[class]));
                for _ in 0..traffic.clump {
                    make(&mut rng, at, Some(receiver), None)?;
                }
                at += traffic.period;
            }
        }
        _ => {
            // A Poisson process, thinned from its highest rate.
            let most = traffic.rate.max(traffic.to_rate) * (1.0 + traffic.swing);
            let mut t = traffic.from as f64;
            if most <= 0.0 {
                return Ok(());
            }
            loop {
                t += -(1.0 - rng.random::<f64>()).ln() / most * 1e6;
                if t >= traffic.to as f64 {
                    break;
                }
                if rng.random::<f64>() * most < traffic.rate_at(t as Micros) {
                    make(&mut rng, t as Micros, None, None)?;
                }
            }
        }
    }
    Ok(())
}
