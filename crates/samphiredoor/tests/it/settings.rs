//! Error messages for invalid settings.

use std::process::Command;

use crate::env::TestEnv;

const VALID_DOOR: &str = r#"name = "door-1"
region = "finistere"
availability_zone = "quimper"
callers.address = "127.0.0.1:8080"
operators.address = "127.0.0.1:8081"
peers.address = "127.0.0.1:8082"
store.address = "127.0.0.1:8083"
"#;

const VALID_GATEWAY: &str = r#"name = "gateway-1"
region = "brisbane"
availability_zone = "brisbane-north"
callers.address = "127.0.0.1:8080"
readiness.address = "127.0.0.1:8081"
peers.address = "127.0.0.1:8082"
store.address = "127.0.0.1:8083"
"#;

fn check(settings: &str) -> (bool, String) {
    run("check", settings)
}

fn run(command: &str, settings: &str) -> (bool, String) {
    let env = TestEnv::new();
    let file = env.write("settings.toml", settings);
    let binary = env!("CARGO_BIN_EXE_samphiredoor");
    let output = Command::new(binary).args([command, &file]).output().expect("it runs");
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    (output.status.success(), text)
}

macro_rules! refused {
    ($command:expr, $valid:expr; $($name:ident: $old:expr => $new:expr, $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (passed, text) = run($command, &$valid.replace($old, $new));
                assert!(!passed, "{text}");
                assert!(text.contains($expected), "{text}");
            }
        )*
    };
}

refused! {
    "check", VALID_DOOR;
    an_unknown_key: "callers.address" => "callers.adress", "line 4";
    a_host_name_for_an_address: "127.0.0.1:8083" => "store:8083", "line 7: store.address";
    one_address_for_two_listeners: "8081" => "8080", "line 5: operators.address";
    a_name_with_spaces: "door-1" => "door 1", "line 1: name";
    a_number_in_quotes:
        "name = \"door-1\"" => "name = \"door-1\"\nstore.timeout_ms = \"2s\"", "line 2";
    a_renewal_longer_than_half_a_lease:
        "name = \"door-1\"" => "name = \"door-1\"\nownership.renew_ms = 20000",
        "line 2: ownership.renew_ms";
    an_open_operators_listener_without_a_token:
        "127.0.0.1:8081" => "0.0.0.0:8081", "line 5: operators.token_file";
}

refused! {
    "gateway", VALID_GATEWAY;
    a_gateways_unknown_key: "callers.address" => "callers.adress", "line 4";
    a_gateways_address_without_a_port: "127.0.0.1:8083" => "127.0.0.1", "line 7: store.address";
    a_gateway_without_a_name: "gateway-1" => "", "line 1: name";
    a_gateway_without_a_listener:
        "readiness.address = \"127.0.0.1:8081\"\n" => "", "readiness.address: is missing";
}

#[test]
fn valid_settings_pass_the_check() {
    let (passed, text) = check(VALID_DOOR);
    assert!(passed, "{text}");
}

#[test]
fn the_example_settings_pass_the_check() {
    let (passed, text) = check(include_str!("../../../../examples/door.toml"));
    assert!(passed, "{text}");
}
