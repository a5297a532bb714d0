//! A histogram of small whole numbers that forgets: a sample's weight halves every so often.

/// Weights by value, with values above the last counted as the last.
#[derive(Debug, Clone)]
pub(super) struct DecayedHistogram {
    weights: Vec<f64>,
    total: f64,
    half_life_ms: f64,
    // Weight of a sample taken now. It grows instead of all older weights shrinking.
    unit: f64,
    last_ms: u64,
}

const RESCALE_ABOVE: f64 = 1e9;

impl DecayedHistogram {
    pub(super) fn new(values: u32, half_life_ms: u64) -> DecayedHistogram {
        DecayedHistogram {
            weights: vec![0.0; values as usize + 1],
            total: 0.0,
            half_life_ms: half_life_ms as f64,
            unit: 1.0,
            last_ms: 0,
        }
    }

    /// Adds a sample with a weight, such as the time that it stood.
    pub(super) fn add(&mut self, now_ms: u64, value: f64, weight: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.last_ms = now_ms;
        self.unit *= (elapsed_ms / self.half_life_ms).exp2();
        if self.unit > RESCALE_ABOVE {
            self.rescale();
        }
        let index = (value.ceil().max(0.0) as usize).min(self.weights.len() - 1);
        self.weights[index] += weight * self.unit;
        self.total += weight * self.unit;
    }

    /// Least value that at least the share `quantile` of all weight does not exceed; 0 without samples.
    pub(super) fn quantile(&self, quantile: f64) -> u32 {
        let mut above = self.total * (1.0 - quantile);
        for (value, weight) in self.weights.iter().enumerate().rev() {
            above -= weight;
            if above < 0.0 {
                return value as u32;
            }
        }
        0
    }

    fn rescale(&mut self) {
        for weight in &mut self.weights {
            *weight /= self.unit;
        }
        self.total /= self.unit;
        self.unit = 1.0;
    }
}
