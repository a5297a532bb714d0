//! Prices of engine time that give a low bound on the worth of all requests.
//!
//! Any prices give a bound. The search for good ones starts from one price for all time, and then moves each bucket's by
//! how much more of it is wanted than there is. So that this settles, wants are spread over cheap and less cheap time, at
//! first widely, then less.

/// Multiples of the mean worth of engine time that are tried as the one price.
const INITIAL_PRICES: [f64; 13] = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.3, 1.6];
/// How widely wants are spread, as parts of the mean worth of engine time, one after the other.
const TEMPERATURES: [f64; 5] = [0.3, 0.15, 0.08, 0.04, 0.02];
/// Rounds with each spread.
const ROUNDS: u32 = 60;
/// Change of a price in a round, as a part of the spread, if twice as much is wanted as there is.
const STEP_SIZE: f64 = 0.5;
/// Part of all weights below which a range's sum of weights is worked out anew.
const EXACT_BELOW: f64 = 1e-9;

/// Work that has to be done in a range of buckets.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// First bucket.
    pub from: usize,
    /// Bucket after the last.
    pub until: usize,
    /// How much.
    pub engine_ms: f64,
}

/// A way in which a request may end, with its two pieces of work.
#[derive(Debug, Clone, Copy)]
pub struct Completion {
    /// What it is worth.
    pub worth: f64,
    /// Work that has to be done first.
    pub first: Work,
    /// Work that may be done later.
    pub rest: Work,
}

impl Completion {
    fn engine_ms(&self) -> f64 {
        self.first.engine_ms + self.rest.engine_ms
    }
}

/// Ways of one request; it ends in one of them or earns nothing.
pub type Completions = [Option<Completion>; 2];

/// Engine time, and those who want it.
#[derive(Debug)]
pub struct DualProblem {
    supply_ms: Vec<f64>,
    requests: Vec<Completions>,
    mean_price: f64,
}

/// Weights of buckets by which wants are spread over them.
struct BucketWeights {
    weights: Vec<f64>,
    sums: Vec<f64>,
}

impl BucketWeights {
    fn new(supply_ms: &[f64], prices: &[f64], temperature: f64) -> BucketWeights {
        let least = prices.iter().copied().fold(f64::INFINITY, f64::min);
        let both = supply_ms.iter().zip(prices);
        let weights: Vec<f64> =
            both.map(|(ms, it)| ms * ((least - it) / temperature).exp()).collect();
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

/// Least prices of all ranges whose length is a power of two.
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
    /// Engine time in each bucket, and the ways of each request.
    pub fn new(supply_ms: Vec<f64>, requests: Vec<Completions>) -> DualProblem {
        let (mut worth, mut work_ms) = (0.0, 0.0);
        for completion in requests.iter().filter_map(|it| it[0]) {
            worth += completion.worth;
            work_ms += completion.engine_ms();
        }
        let mean_price = if work_ms > 0.0 { worth / work_ms } else { 0.0 };
        DualProblem { supply_ms, requests, mean_price }
    }

    /// The least bound that the search finds.
    pub fn lowest_bound(&self) -> f64 {
        let mut prices = self.initial_prices();
        let mut least = self.bound(&prices);
        if self.mean_price == 0.0 {
            return least;
        }
        for temperature in TEMPERATURES.map(|it| it * self.mean_price) {
            for _ in 0..ROUNDS {
                self.adjust_prices(&mut prices, temperature);
                least = least.min(self.bound(&prices));
            }
        }
        least
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

    /// What all engine time costs, and what each request's worth exceeds the cost of its cheapest way.
    fn bound(&self, prices: &[f64]) -> f64 {
        let supply = self.supply_ms.iter().zip(prices);
        let all: f64 = supply.map(|(supply_ms, price)| supply_ms * price).sum();
        let price_minimum = self.price_minimum(prices);
        let surpluses = self.requests.iter().map(|completions| {
            let surpluses = completions.iter().flatten().map(|it| surplus(&price_minimum, it));
            surpluses.fold(0.0, f64::max)
        });
        all + surpluses.sum::<f64>()
    }

    // Where there is no engine time, none can be bought.
    fn price_minimum(&self, prices: &[f64]) -> RangeMinimum {
        let both = self.supply_ms.iter().zip(prices);
        let or_none = |(ms, it): (&f64, &f64)| if *ms > 0.0 { *it } else { f64::INFINITY };
        RangeMinimum::new(both.map(or_none).collect())
    }

    /// Engine time that is wanted in each bucket.
    fn demand_ms(&self, prices: &[f64], temperature: f64) -> Vec<f64> {
        let weights = BucketWeights::new(&self.supply_ms, prices, temperature);
        let price_minimum = self.price_minimum(prices);
        // Differences from bucket to bucket of what is wanted, for each unit of weight.
        let mut differences = vec![0.0; prices.len() + 1];
        for completions in &self.requests {
            let all_odds =
                completions.map(|it| it.map_or(0.0, |it| odds(&price_minimum, &it, temperature)));
            let all = 1.0 + all_odds.iter().sum::<f64>();
            for (completion, odds) in completions.iter().zip(all_odds) {
                let Some(completion) = completion else { continue };
                for work in [completion.first, completion.rest] {
                    let of_work = weights.of(&work);
                    if odds > 0.0 && of_work > 0.0 {
                        let each = work.engine_ms * odds / all / of_work;
                        differences[work.from] += each;
                        differences[work.until] -= each;
                    }
                }
            }
        }
        let mut each = 0.0;
        let wanted = differences.iter().zip(&weights.weights).map(|(step, weight)| {
            each += step;
            (each * weight).max(0.0)
        });
        wanted.collect()
    }
}

fn surplus(price_minimum: &RangeMinimum, completion: &Completion) -> f64 {
    let cost = |work: &Work| match work.engine_ms {
        0.0 => 0.0,
        engine_ms => engine_ms * price_minimum.of(work),
    };
    completion.worth - cost(&completion.first) - cost(&completion.rest)
}

/// How much likelier than nothing a request ends in a way, if wants are spread.
fn odds(price_minimum: &RangeMinimum, completion: &Completion, temperature: f64) -> f64 {
    const MAX_EXPONENT: f64 = 500.0;
    (surplus(price_minimum, completion) / (temperature * completion.engine_ms()))
        .clamp(-MAX_EXPONENT, MAX_EXPONENT)
        .exp()
}
