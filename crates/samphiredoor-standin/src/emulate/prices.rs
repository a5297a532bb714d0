//! Searches for prices of engine time that give a low upper bound on the worth of all requests.
//!
//! Any prices give a valid bound. The search starts from the same price for all buckets of time and then adjusts the
//! price of each bucket by its excess demand. To make the search converge, demand is spread over cheap and less cheap
//! buckets by a softmax whose temperature falls in stages.

/// Uniform prices that are tried first, as multiples of the mean worth of engine time.
const INITIAL_PRICES: [f64; 13] = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.3, 1.6];
/// Softmax temperatures of the stages, as fractions of the mean worth of engine time.
const TEMPERATURES: [f64; 5] = [0.3, 0.15, 0.08, 0.04, 0.02];
/// Price adjustments at each temperature.
const ROUNDS: u32 = 60;
/// Change of a price in a round, as a fraction of the temperature, if demand is twice the supply.
const STEP_SIZE: f64 = 0.5;
/// Fraction of the total weight below which the weights of a range are added up directly instead of by a difference of
/// prefix sums.
const EXACT_BELOW: f64 = 1e-9;

/// Engine time that is needed within a range of buckets.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Index of the first bucket.
    pub from: usize,
    /// Index of the bucket after the last.
    pub until: usize,
    /// Engine time needed.
    pub engine_ms: f64,
}

/// A way to complete a request, with the work that it needs.
#[derive(Debug, Clone, Copy)]
pub struct Completion {
    /// Worth of the request if it is completed this way.
    pub worth: f64,
    /// Work up to the first token.
    pub first: Work,
    /// Work for the remaining tokens, which may have a later limit.
    pub rest: Work,
}

impl Completion {
    fn engine_ms(&self) -> f64 {
        self.first.engine_ms + self.rest.engine_ms
    }
}

/// Alternative completions of one request, which is completed in one of them or earns nothing.
pub type Completions = [Option<Completion>; 2];

/// Dual of the problem of assigning engine time to requests: its variables are the prices of the buckets.
#[derive(Debug)]
pub struct DualProblem {
    supply_ms: Vec<f64>,
    requests: Vec<Completions>,
    /// Mean worth of engine time, the unit of prices and temperatures.
    mean_price: f64,
}

/// Softmax weights by which demand is spread over buckets, with their prefix sums.
struct BucketWeights {
    weights: Vec<f64>,
    sums: Vec<f64>,
}

impl BucketWeights {
    fn new(supply_ms: &[f64], prices: &[f64], temperature: f64) -> BucketWeights {
        let lowest = prices.iter().copied().fold(f64::INFINITY, f64::min);
        let priced_supply = supply_ms.iter().zip(prices);
        let weights: Vec<f64> =
            priced_supply.map(|(ms, it)| ms * ((lowest - it) / temperature).exp()).collect();
        let mut sums = vec![0.0];
        for weight in &weights {
            sums.push(sums[sums.len() - 1] + weight);
        }
        BucketWeights { weights, sums }
    }

    fn of(&self, work: &Work) -> f64 {
        let sum = self.sums[work.until] - self.sums[work.from];
        if sum > EXACT_BELOW * self.sums[self.sums.len() - 1] {
            return sum;
        }
        self.weights[work.from..work.until].iter().sum()
    }
}

/// Sparse table for minimum prices of ranges: level `n` has the minima of all ranges of length 2^`n`.
struct RangeMinimum(Vec<Vec<f64>>);

impl RangeMinimum {
    fn new(prices: Vec<f64>) -> RangeMinimum {
        let mut levels = vec![prices];
        let mut width = 1;
        while let Some(last) = levels.last()
            && last.len() > width
        {
            let next = last.iter().zip(&last[width..]).map(|(a, b)| a.min(*b)).collect();
            levels.push(next);
            width *= 2;
        }
        RangeMinimum(levels)
    }

    fn of(&self, work: &Work) -> f64 {
        let Some(level) = (work.until.saturating_sub(work.from)).checked_ilog2() else {
            return f64::INFINITY;
        };
        let prices = &self.0[level as usize];
        prices[work.from].min(prices[work.until - (1 << level)])
    }
}

impl DualProblem {
    /// Takes the engine time of each bucket and the completions of each request.
    pub fn new(supply_ms: Vec<f64>, requests: Vec<Completions>) -> DualProblem {
        let (mut worth, mut work_ms) = (0.0, 0.0);
        for completion in requests.iter().filter_map(|it| it[0]) {
            worth += completion.worth;
            work_ms += completion.engine_ms();
        }
        let mean_price = if work_ms > 0.0 { worth / work_ms } else { 0.0 };
        DualProblem { supply_ms, requests, mean_price }
    }

    /// Lowest bound that the search finds.
    pub fn lowest_bound(&self) -> f64 {
        let mut prices = self.initial_prices();
        let mut lowest = self.bound(&prices);
        if self.mean_price == 0.0 {
            return lowest;
        }
        for temperature in TEMPERATURES.map(|it| it * self.mean_price) {
            for _ in 0..ROUNDS {
                self.adjust_prices(&mut prices, temperature);
                lowest = lowest.min(self.bound(&prices));
            }
        }
        lowest
    }

    fn initial_prices(&self) -> Vec<f64> {
        let all_at = |part: &f64| vec![part * self.mean_price; self.supply_ms.len()];
        let bound_at = |part: &f64| self.bound(&all_at(part));
        let best = INITIAL_PRICES.iter().min_by(|a, b| bound_at(a).total_cmp(&bound_at(b)));
        all_at(best.unwrap_or(&0.0))
    }

    fn adjust_prices(&self, prices: &mut [f64], temperature: f64) {
        let demand_ms = self.demand_ms(prices, temperature);
        for (bucket, price) in prices.iter_mut().enumerate() {
            let supply_ms = self.supply_ms[bucket].max(f64::MIN_POSITIVE);
            let excess = (demand_ms[bucket] / supply_ms - 1.0).clamp(-1.0, 1.0);
            *price = (*price + STEP_SIZE * temperature * excess).max(0.0);
        }
    }

    /// Upper bound at these prices: the price of all engine time, plus for each request the largest surplus of its
    /// worth over the cost of a completion.
    fn bound(&self, prices: &[f64]) -> f64 {
        let supply = self.supply_ms.iter().zip(prices);
        let supply_price: f64 = supply.map(|(supply_ms, price)| supply_ms * price).sum();
        let price_minimum = self.price_minimum(prices);
        let surpluses = self.requests.iter().map(|completions| {
            let surpluses = completions.iter().flatten().map(|it| surplus(&price_minimum, it));
            surpluses.fold(0.0, f64::max)
        });
        supply_price + surpluses.sum::<f64>()
    }

    // Buckets without engine time have an infinite price, because no work can be done in them.
    fn price_minimum(&self, prices: &[f64]) -> RangeMinimum {
        let priced_supply = self.supply_ms.iter().zip(prices);
        let or_none = |(ms, it): (&f64, &f64)| if *ms > 0.0 { *it } else { f64::INFINITY };
        RangeMinimum::new(priced_supply.map(or_none).collect())
    }

    /// Engine time demanded in each bucket at these prices.
    fn demand_ms(&self, prices: &[f64], temperature: f64) -> Vec<f64> {
        let weights = BucketWeights::new(&self.supply_ms, prices, temperature);
        let price_minimum = self.price_minimum(prices);
        // Difference array of the demand per unit of weight.
        let mut differences = vec![0.0; prices.len() + 1];
        for completions in &self.requests {
            let all_odds =
                completions.map(|it| it.map_or(0.0, |it| odds(&price_minimum, &it, temperature)));
            let total_odds = 1.0 + all_odds.iter().sum::<f64>();
            for (completion, odds) in completions.iter().zip(all_odds) {
                let Some(completion) = completion else { continue };
                for work in [completion.first, completion.rest] {
                    let weight = weights.of(&work);
                    if odds > 0.0 && weight > 0.0 {
                        let per_weight = work.engine_ms * odds / total_odds / weight;
                        differences[work.from] += per_weight;
                        differences[work.until] -= per_weight;
                    }
                }
            }
        }
        let mut per_weight = 0.0;
        let demand = differences.iter().zip(&weights.weights).map(|(step, weight)| {
            per_weight += step;
            (per_weight * weight).max(0.0)
        });
        demand.collect()
    }
}

fn surplus(price_minimum: &RangeMinimum, completion: &Completion) -> f64 {
    let cost = |work: &Work| match work.engine_ms {
        0.0 => 0.0,
        engine_ms => engine_ms * price_minimum.of(work),
    };
    completion.worth - cost(&completion.first) - cost(&completion.rest)
}

/// Softmax odds of completing a request this way against not completing it.
fn odds(price_minimum: &RangeMinimum, completion: &Completion, temperature: f64) -> f64 {
    const MAX_EXPONENT: f64 = 500.0;
    (surplus(price_minimum, completion) / (temperature * completion.engine_ms()))
        .clamp(-MAX_EXPONENT, MAX_EXPONENT)
        .exp()
}
