//! A straight line fitted to samples, newer ones counting more.

/// Number of samples after which an old one has about a third of its weight.
const MEMORY_SAMPLES: f64 = 256.0;
/// Variance of `x` below which the samples say nothing of the slope.
const MIN_VARIANCE: f64 = 0.05;

/// Weighted sums over the samples of `y` against `x`.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    /// Slope that was found last.
    slope: f64,
}

impl LinearFit {
    /// A line that the first samples replace.
    pub(super) fn new(intercept: f64, slope: f64) -> LinearFit {
        let mut fit = LinearFit { weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0, slope };
        for x in [0.0, 2.0, 4.0] {
            fit.add(x, intercept + slope * x, 1.0);
        }
        fit
    }

    /// Adds a sample. The caller bounds both values.
    pub(super) fn record(&mut self, x: f64, y: f64, slopes: (f64, f64)) {
        let decay = 1.0 - 1.0 / MEMORY_SAMPLES;
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= decay;
        }
        self.add(x, y, 1.0);
        let variance = self.xx / self.weight - (self.x / self.weight).powi(2);
        if variance > MIN_VARIANCE {
            let covariance = self.xy / self.weight - self.x * self.y / self.weight.powi(2);
            self.slope = (covariance / variance).clamp(slopes.0, slopes.1);
        }
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Increase of `y` for each unit of `x`.
    pub(super) fn slope(&self) -> f64 {
        self.slope
    }
}
