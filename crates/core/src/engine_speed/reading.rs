//! Learned values as instances tell them each other.

use serde::{Deserialize, Serialize};

/// Steps of the logarithmic scale for a factor of 2: one step is 1.1%.
const STEPS_PER_DOUBLING: f64 = 64.0;
/// Steps between two values of which the second is told after the first: 5%.
const NEWS_STEPS: u16 = 5;
/// Value that stands for 1.
const ONE: f64 = 32_768.0;
/// Greatest factor from 1 that is told in either direction, as a power of 2.
const MAX_DOUBLINGS: f64 = 20.0;
/// Weight of a value that holds only at this moment.
pub(super) const MOMENTARY: u8 = 0;

/// One learned value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// What the value is of.
    pub key: u32,
    /// The value on a logarithmic scale.
    value: u16,
    /// How many samples it stands for, or [`MOMENTARY`].
    pub(super) weight: u8,
}

impl Reading {
    /// A value that stands for some samples; `None` if it is not positive and finite.
    pub fn new(key: u32, value: f64, weight: f64) -> Option<Reading> {
        let weight = weight.clamp(1.0, f64::from(u8::MAX)) as u8;
        Some(Reading { key, value: encode(value)?, weight })
    }

    /// A value that holds only at this moment; `None` if it is not positive and finite.
    pub fn momentary(key: u32, value: f64) -> Option<Reading> {
        Some(Reading { key, value: encode(value)?, weight: MOMENTARY })
    }

    /// Natural logarithm of the value; finite whatever a peer sent.
    pub(super) fn ln(self) -> f64 {
        let doublings = (f64::from(self.value) - ONE) / STEPS_PER_DOUBLING;
        doublings.clamp(-MAX_DOUBLINGS, MAX_DOUBLINGS) * std::f64::consts::LN_2
    }

    /// Whether a peer that knows `known` should be told: the value differs by 5% or more, or stands
    /// for twice the samples. A momentary value other than 1 is told again and again, since it does
    /// not hold for long.
    pub(super) fn is_news_after(self, known: Option<Reading>) -> bool {
        if self.weight == MOMENTARY {
            let known = known.map_or(ONE as u16, |it| it.value);
            return self.differs_from(ONE as u16) || self.differs_from(known);
        }
        let Some(known) = known else { return true };
        self.differs_from(known.value) || self.weight / 2 >= known.weight.max(1)
    }

    fn differs_from(self, value: u16) -> bool {
        self.value.abs_diff(value) >= NEWS_STEPS
    }
}

fn encode(value: f64) -> Option<u16> {
    if !(value.is_finite() && value > 0.0) {
        return None;
    }
    let doublings = value.log2().clamp(-MAX_DOUBLINGS, MAX_DOUBLINGS);
    Some((ONE + doublings * STEPS_PER_DOUBLING).round() as u16)
}
