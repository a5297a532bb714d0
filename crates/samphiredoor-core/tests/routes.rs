//! Tests of routes: which one serves a request, how splits share, and that versions never go back.

use samphiredoor_core::routes::{
    BatchTimes, CallerLimits, LatestRoutes, Route, RouteKind, RouteTable, Split,
};

fn route(name: &str, host: &str, prefix: &str, splits: &[(&str, u32)]) -> Route {
    let split =
        |(service, weight): &(&str, u32)| Split { service: (*service).into(), weight: *weight };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        splits: splits.iter().map(split).collect(),
        timeout_ms: 1_000,
        objective_ms: 100,
        attempts: 1,
        priority: 0,
    }
}

fn table(version: u64) -> RouteTable {
    let routes = vec![
        route("short", "desk", "/a/", &[("one", 1)]),
        route("long", "desk", "/a/b/", &[("two", 1)]),
        route("other", "farm", "/a/b/c/", &[("three", 1)]),
    ];
    RouteTable::new(version, CallerLimits::default(), routes)
}

macro_rules! serves {
    ($($name:ident: $host:expr, $path:expr => $route:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let table = table(1);
                assert_eq!(table.find($host, $path).map(|it| &*it.name), $route);
            }
        )*
    };
}

serves! {
    the_longest_prefix_of_the_host_serves: "desk", "/a/b/c/d" => Some("long");
    a_shorter_prefix_serves_the_rest: "desk", "/a/x" => Some("short");
    a_port_does_not_count: "desk:8080", "/a/x" => Some("short");
    another_host_has_its_own_routes: "farm", "/a/x" => None;
    an_unknown_host_has_none: "yard", "/a/b/" => None;
    a_prefix_ends_at_its_slash: "desk", "/ab" => None;
}

#[test]
fn splits_share_by_weight() {
    let route = route("r", "desk", "/", &[("one", 90), ("none", 0), ("two", 10)]);
    let share = |service: &str| {
        let draws = (0..1_000).map(|it| f64::from(it) / 1_000.0);
        draws.filter(|draw| route.service(*draw).is_some_and(|it| &**it == service)).count()
    };
    assert_eq!((share("one"), share("none"), share("two")), (900, 0, 100));
}

#[test]
fn versions_never_go_back() {
    let mut log = LatestRoutes::default();
    assert!(log.current().is_none());
    assert!(log.update_if_newer(table(7)));
    assert!(!log.update_if_newer(table(7)));
    assert!(!log.update_if_newer(table(3)));
    assert_eq!(log.current().map(|it| it.version), Some(7));
    assert!(log.update_if_newer(table(20)));
}

#[test]
fn only_what_may_run_again_is_repeatable() {
    let batch = RouteKind::Batch(BatchTimes { due_ms: 1, give_up_ms: 1 });
    assert!(RouteKind::Repeatable.is_repeatable());
    assert!(RouteKind::Stream { resumable: true }.is_repeatable());
    assert!(
        ![RouteKind::Once, RouteKind::Stream { resumable: false }, batch]
            .iter()
            .any(|it| it.is_repeatable())
    );
}
