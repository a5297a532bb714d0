//! The command line through its real binary, without a door.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_samphirectl");
    Command::new(binary).args(args).output().expect("samphirectl runs")
}

macro_rules! ends {
    ($($name:ident: $args:expr => $code:expr, $holds:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let output = run(&$args);
                let text = String::from_utf8_lossy(&output.stderr).into_owned();
                assert_eq!(output.status.code(), Some($code), "{text}");
                assert!(text.contains($holds), "{text}");
            }
        )*
    };
}

ends! {
    a_wrong_word_ends_with_2_before_any_door_is_asked:
        ["jobs", "where", "stat", "=", "x"] => 2, "did you mean `state`?";
    no_door_ends_with_4:
        ["--door", "127.0.0.1:1", "jobs"] => 4, "no door answers";
    a_missing_file_ends_with_1:
        ["apply", "no-such-file.toml"] => 1, "no-such-file.toml: cannot be read";
}
