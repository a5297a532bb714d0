//! Simulation of what is quarantined: sound content while targets crash by chance, and content that crashes them.
//!
//! Prints false alarms and misses of several rules: `SAMPHIREDOOR_CASES=40 cargo test --release -p samphiredoor-core --test
//! quarantine_rule -- --nocapture --test-threads 1`.

mod fleet;

use fleet::{Cause, Outcome, Scenario, Size, play};
use samphiredoor_core::crash_reports::QuarantineRule;

const TINY: Size = Size { gateways: 3, targets: 3, requests_per_s: 8 };
const SMALL: Size = Size { gateways: 9, targets: 12, requests_per_s: 30 };
const MEDIUM: Size = Size { gateways: 49, targets: 60, requests_per_s: 150 };
const LARGE: Size = Size { gateways: 300, targets: 400, requests_per_s: 1_000 };

/// Number of runs of a scenario.
fn cases(default: u64) -> u64 {
    std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

fn sound(size: Size) -> Scenario {
    Scenario {
        size,
        duration_ms: 10_000,
        run_ms: 700,
        crashes_per_hour: 20,
        pulses: 0,
        hit_share: 0.0,
        burst_until_ms: 0,
        causes: Vec::new(),
        causes_from_ms: 0,
        cause_per_s: 6,
    }
}

/// A burst of crashes by chance soon after the start of all gateways.
fn burst(size: Size, run_ms: u64) -> Scenario {
    let hit_share = if size.targets > 100 { 0.1 } else { 0.3 };
    Scenario { pulses: 4, hit_share, burst_until_ms: 1_500, run_ms, ..sound(size) }
}

fn with_causes(size: Size, causes: &[Cause], causes_from_ms: u64) -> Scenario {
    Scenario { causes: causes.to_vec(), causes_from_ms, ..sound(size) }
}

/// What the runs of one scenario have shown together.
#[derive(Debug, Default)]
struct Total {
    runs: u64,
    hours: f64,
    requests: u64,
    refused: u64,
    false_alarms: [usize; 3],
    /// For each cause of each run, crashes until its quarantine was known.
    until_known: Vec<u64>,
    known_after_ms: Vec<u64>,
    missed: u64,
    most_crashes: u64,
}

impl Total {
    fn add(&mut self, scenario: &Scenario, outcome: &Outcome) {
        self.runs += 1;
        self.hours += scenario.duration_ms as f64 / 3_600_000.0;
        self.requests += outcome.requests;
        self.refused += outcome.refused;
        for (sum, count) in self.false_alarms.iter_mut().zip(outcome.false_alarms) {
            *sum += count;
        }
        self.until_known.extend(outcome.crashes_until_known.iter().flatten());
        self.known_after_ms.extend(outcome.known_after_ms.iter().flatten());
        self.missed += outcome.crashes_until_known.iter().filter(|it| it.is_none()).count() as u64;
        let most = outcome.crashes.iter().copied().max().unwrap_or(0);
        self.most_crashes = self.most_crashes.max(most);
    }

    fn false_alarms(&self) -> usize {
        self.false_alarms.iter().sum()
    }

    fn line(&mut self) -> String {
        let (alarms, requests) = (self.false_alarms() as f64, self.requests as f64);
        format!(
            "{} | {} | {}/{}/{} | {:.1} | {:.3} | {:.2} | {} | {} | {} | {}",
            self.runs,
            self.requests,
            self.false_alarms[0],
            self.false_alarms[1],
            self.false_alarms[2],
            alarms / self.hours,
            alarms * 1_000.0 / requests,
            self.refused as f64 * 1_000.0 / requests,
            quantiles(&mut self.until_known),
            quantiles(&mut self.known_after_ms),
            self.missed,
            self.most_crashes,
        )
    }
}

/// Median, 90 % and the most of these values.
fn quantiles(values: &mut [u64]) -> String {
    values.sort_unstable();
    let Some(most) = values.last() else { return "-".to_owned() };
    let at = |share: f64| values[((values.len() as f64 * share) as usize).min(values.len() - 1)];
    format!("{}/{}/{most}", at(0.5), at(0.9))
}

fn total(scenario: &Scenario, rule: QuarantineRule, runs: u64) -> Total {
    let mut total = Total::default();
    (0..runs).for_each(|seed| total.add(scenario, &play(scenario, rule, seed)));
    total
}

/// Scenarios with their names.
fn scenarios(size: Size) -> Vec<(String, Scenario)> {
    use Cause::{CommonFirstPart, DeepPart, FirstPart, Request};
    let causes: [(&str, &[Cause], u64); 10] = [
        ("request, after the start", &[Request], 0),
        ("request, later", &[Request], 4_000),
        ("deep part, after the start", &[DeepPart], 0),
        ("deep part, later", &[DeepPart], 4_000),
        ("first part, after the start", &[FirstPart], 0),
        ("first part, later", &[FirstPart], 4_000),
        ("first part of most requests, from the start", &[CommonFirstPart], 0),
        ("two deep parts, after the start", &[DeepPart, DeepPart], 0),
        (
            "three requests and two deep parts, after the start",
            &[Request, Request, Request, DeepPart, DeepPart],
            0,
        ),
        ("two requests and a deep part, after the start", &[Request, Request, DeepPart], 0),
    ];
    let causes =
        causes.map(|(name, causes, from)| (name.to_owned(), with_causes(size, causes, from)));
    let bursts = [300, 700, 2_000]
        .map(|run_ms| (format!("burst after the start, runs of {run_ms} ms"), burst(size, run_ms)));
    let long = [300, 700].map(|run_ms| {
        let scenario = Scenario { pulses: 12, ..burst(size, run_ms) };
        (format!("long burst after the start, runs of {run_ms} ms"), scenario)
    });
    let single = ("single crashes".to_owned(), Scenario { crashes_per_hour: 120, ..sound(size) });
    let with_burst = ["first part", "deep part"].map(|name| {
        let cause = if name == "first part" { FirstPart } else { DeepPart };
        let scenario = Scenario { causes: vec![cause], ..burst(size, 700) };
        (format!("burst beside a {name}"), scenario)
    });
    [single].into_iter().chain(bursts).chain(long).chain(causes).chain(with_burst).collect()
}

/// Time after its fifth crash within which gateways know a part that crashes targets.
const KNOWN_WITHIN_MS: u64 = 4_000;

// Guards against a quarantine of the first parts of most requests for crashes by chance, while nobody has answered them.
#[test]
fn no_first_part_is_quarantined_for_bursts_of_crashes() {
    for size in [TINY, SMALL] {
        for scenario in [burst(size, 300), burst(size, 700), burst(size, 2_000)] {
            let total = total(&scenario, QuarantineRule::default(), cases(4));
            assert_eq!(total.false_alarms[2], 0, "{scenario:?}");
        }
    }
}

// Guards against a first part that crashes many targets before it is known.
#[test]
fn a_first_part_that_crashes_targets_is_known_in_time() {
    for from_ms in [0, 4_000] {
        let scenario = with_causes(SMALL, &[Cause::FirstPart], from_ms);
        let total = total(&scenario, QuarantineRule::default(), cases(8));
        assert_eq!(total.missed, 0);
        assert!(total.known_after_ms.iter().all(|it| *it <= KNOWN_WITHIN_MS), "{total:?}");
    }
}

/// Prints what each rule would have done.
#[test]
fn rules_are_compared() {
    let runs = cases(1);
    let now = QuarantineRule::default();
    let rules = [
        ("default", now),
        ("first part: 12 crashes", QuarantineRule { common_part_crashes: 12, ..now }),
        ("first part: 4 others", QuarantineRule { common_part_causes: 4, ..now }),
        ("chance 0.00005", QuarantineRule { max_chance: 0.000_05, ..now }),
        ("chance 0.005", QuarantineRule { max_chance: 0.005, ..now }),
    ];
    let sizes: &[Size] = if runs > 1 { &[TINY, SMALL, MEDIUM, LARGE] } else { &[TINY, SMALL] };
    println!(
        "gateways | scenario | rule | runs | requests | false alarms (requests/deep parts/first parts) | an hour | \
         per 1,000 requests | refused per 1,000 | crashes until known (median/90 %/most) | ms after the bound (same) | \
         missed | most crashes"
    );
    for size in sizes {
        // Runs of large fleets have as many requests as several of smaller ones.
        let runs =
            (runs * SMALL.requests_per_s / size.requests_per_s).clamp(runs.div_ceil(10), runs);
        for (name, scenario) in scenarios(*size) {
            for (rule_name, rule) in &rules {
                let line = total(&scenario, *rule, runs).line();
                println!("{} | {name} | {rule_name} | {line}", size.gateways);
            }
        }
    }
}
