//! The limits of evidence from which a suspect is quarantined, where false alarms and late quarantines are weighed.

/// Limits of evidence. `docs/design/quarantine.md` compares others with the default.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuarantineRule {
    /// Probability up to which crashes beneath a suspect are no chance.
    pub max_chance: f64,
    /// Crashes after which no request with a first part is sent any more that has further ones behind it. Most requests to a
    /// service share it, so that its quarantine refuses them all, and after a start of all gateways nobody may have answered
    /// any of them.
    pub common_part_crashes: u32,
    /// Probability up to which crashes beneath such a part are no chance. Runs that are not lost don't count as its time, and
    /// most runs have it.
    pub common_part_max_chance: f64,
    /// Fewest requests and deeper parts that have to be the causes of these crashes if the first part is not. Fewer are the
    /// simpler explanation.
    pub common_part_causes: u32,
}

impl Default for QuarantineRule {
    fn default() -> QuarantineRule {
        QuarantineRule {
            max_chance: 0.000_5,
            common_part_crashes: 5,
            common_part_max_chance: 0.000_01,
            common_part_causes: 3,
        }
    }
}
