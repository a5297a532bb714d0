//! Queries for live gateways in the entries of those that ask.

use samphiredoor_gateway::peers::Presence;

const ENTRY: &[u8] = br#"{"address":"127.0.0.1:9","region":"brisbane"}"#;

macro_rules! repeated {
    ($($name:ident: $is_query:expr;)*) => {
        $(
            // Guards against jobs of lost gateways that are left: the store takes a write that changes nothing for none, so that
            // answers to the query before count as new.
            #[test]
            fn $name() {
                let presence = Presence { is_query: $is_query, group_size: 3 };
                let first = presence.set_in(ENTRY).expect("a valid entry");
                let second = presence.set_in(&first).expect("a valid entry");
                assert_ne!(first, second);
                assert_eq!(Presence::in_entry(&second), Some(presence));
            }
        )*
    };
}

repeated! {
    a_query_like_the_last_one_changes_the_entry: true;
    an_answer_like_the_last_one_changes_the_entry: false;
}
