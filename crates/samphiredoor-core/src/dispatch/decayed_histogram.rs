//! Histogram of small integers with exponential decay: the weight of a sample halves every half-life.

/// Weights by value. Values above the largest are counted as the largest.
#[derive(Debug, Clone)]
pub(super) struct DecayedHistogram {
    weights: Vec<f64>,
    total: f64,
    half_life_ms: f64,
    /// Weight of a sample taken now. It grows over time, so that older weights need not be scaled down each time.
    unit_weight: f64,
    last_ms: u64,
}

/// Unit weight above which all weights are rescaled, to keep them within the range of floating-point numbers.
const RESCALE_ABOVE: f64 = 1e9;

impl DecayedHistogram {
    pub(super) fn new(values: u32, half_life_ms: u64) -> DecayedHistogram {
        DecayedHistogram {
            weights: vec![0.0; values as usize + 1],
            total: 0.0,
            half_life_ms: half_life_ms as f64,
            unit_weight: 1.0,
            last_ms: 0,
        }
    }

    /// Adds a sample of `value` with the given weight.
    pub(super) fn add(&mut self, now_ms: u64, value: f64, weight: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.last_ms = now_ms;
        self.unit_weight *= (elapsed_ms / self.half_life_ms).exp2();
        if self.unit_weight > RESCALE_ABOVE {
            self.rescale();
        }
        let index = (value.ceil().max(0.0) as usize).min(self.weights.len() - 1);
        self.weights[index] += weight * self.unit_weight;
        self.total += weight * self.unit_weight;
    }

    /// Smallest value that at least the share `quantile` of the total weight does not exceed; 0 without samples.
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
            *weight /= self.unit_weight;
        }
        self.total /= self.unit_weight;
        self.unit_weight = 1.0;
    }
}
