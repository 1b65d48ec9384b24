//! Slowness that endpoints report: how long work takes on their machines at the moment.

/// Bounds of a slowness; others are ignored.
const RANGE: (f64, f64) = (0.1, 100.0);

/// Why a reported slowness is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum IgnoredSlowness {
    /// There is no text.
    Empty,
    /// It is below zero.
    Negative,
    /// No machine is that slow or that fast.
    OutOfRange,
    /// The text is no number.
    NotANumber,
}

/// Parses a slowness that is stated in percent of the usual time. 1 means as usual.
///
/// # Errors
/// Why it is ignored.
pub fn parse_slowness(text: &str) -> Result<f64, IgnoredSlowness> {
    if text.is_empty() {
        return Err(IgnoredSlowness::Empty);
    }
    match text.parse::<f64>() {
        Ok(percent) if is_slowness(percent / 100.0) => Ok(percent / 100.0),
        Ok(percent) if percent < 0.0 => Err(IgnoredSlowness::Negative),
        Ok(percent) if !percent.is_nan() => Err(IgnoredSlowness::OutOfRange),
        Ok(_) | Err(_) => Err(IgnoredSlowness::NotANumber),
    }
}

/// Whether a slowness is one that a machine can have.
pub(super) fn is_slowness(value: f64) -> bool {
    value.is_finite() && (RANGE.0..=RANGE.1).contains(&value)
}
