//! A fleet whose gateways remember the streams of each other, of which half is killed at once.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use samphiredoor_core::software_versions::{
    Answer, Found, HOLDERS, Lookup, OriginRecords, Record, holders,
};

use super::origin;

const STREAMS: u64 = 4_000;
const SEED: u64 = 53;

struct Fleet {
    records: Vec<OriginRecords>,
}

impl Fleet {
    fn new(gateways: usize) -> Fleet {
        let records = (0..gateways).map(|_| OriginRecords::default()).collect();
        Fleet { records }
    }

    fn keys(&self) -> impl Iterator<Item = u64> + use<> {
        (0..self.records.len()).map(key)
    }

    /// Begins a stream at a gateway, which sends its record to the others that hold it.
    fn begin(&mut self, stream: u64, gateway: usize, version: &str) {
        let origin = Some(origin(version, 1, 1));
        let record = Record { service: 3, origin, until_ms: 1_000, is_unsent: false };
        let holders = holders(stream, self.keys());
        let others = holders.iter().filter(|it| **it != key(gateway)).take(HOLDERS);
        let others: Vec<usize> = others.map(|it| index(*it)).collect();
        for holder in others.into_iter().chain([gateway]) {
            self.records[holder].insert(0, stream, record.clone());
        }
    }

    /// What a gateway finds out of a stream while these are live.
    fn find(&self, stream: u64, gateway: usize, is_live: &[bool]) -> Found {
        let answer = |gateway: usize| match self.records[gateway].get(0, stream) {
            Some(record) => Answer::Recorded(record.origin.clone().expect("certain")),
            None => Answer::NoRecord(None),
        };
        let others = holders(stream, self.keys()).into_iter().filter(|it| *it != key(gateway));
        let mut lookup = match Lookup::new(others.collect(), answer(gateway)) {
            Ok(lookup) => lookup,
            Err(found) => return found,
        };
        let asked = lookup.waiting().to_vec();
        let live = asked.into_iter().filter(|it| is_live[index(*it)]);
        let mut answers = live.map(|it| (it, answer(index(it))));
        answers
            .find_map(|(it, answer)| lookup.answered(it, answer))
            .unwrap_or_else(|| lookup.conclude())
    }
}

fn key(gateway: usize) -> u64 {
    gateway as u64 + 1_000
}

fn index(key: u64) -> usize {
    (key - 1_000) as usize
}

macro_rules! fleets {
    ($($name:ident: $gateways:expr;)*) => {
        $(
            /// Guards against streams that no gateway knows any more after the kill of half of them: their callers take them
            /// up at the other half. At least half of them must go on, and none at a wrong version.
            #[test]
            fn $name() {
                let mut rng = SmallRng::seed_from_u64(SEED);
                let mut fleet = Fleet::new($gateways);
                let mut is_live = vec![true; $gateways];
                is_live[..$gateways / 2].fill(false);
                is_live.shuffle(&mut rng);
                let live: Vec<usize> = (0..$gateways).filter(|it| is_live[*it]).collect();
                let killed: Vec<usize> = (0..$gateways).filter(|it| !is_live[*it]).collect();
                let version = |stream: u64| if stream % 2 == 0 { "v1" } else { "v2" };
                let mut known = 0;
                for stream in 0..STREAMS {
                    let first = killed[rng.random_range(0..killed.len())];
                    fleet.begin(stream, first, version(stream));
                    let next = live[rng.random_range(0..live.len())];
                    match fleet.find(stream, next, &is_live) {
                        Found::Origin(origin) => {
                            assert_eq!(&*origin.version, version(stream));
                            known += 1;
                        }
                        Found::Unknown => {}
                    }
                }
                assert!(known * 2 >= STREAMS, "{known}");
            }
        )*
    };
}

fleets! {
    nine_gateways: 9;
    forty_nine_gateways: 49;
    three_hundred_gateways: 300;
}
