//! Exit codes and messages of the binary when no gateway is running.

use std::{
    io::{Read, Write},
    net::TcpListener,
    process::{Command, Output},
    thread,
};

fn run(args: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_samphirectl");
    Command::new(binary).args(args).output().expect("samphirectl runs")
}

macro_rules! exits {
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

exits! {
    an_unknown_field_exits_with_2_before_a_gateway_is_called:
        ["jobs", "where", "stat", "=", "x"] => 2, "did you mean `state`?";
    an_unreachable_gateway_exits_with_4:
        ["--door", "127.0.0.1:1", "jobs"] => 4, "no door answers";
    a_missing_file_exits_with_1:
        ["apply", "no-such-file.toml"] => 1, "no-such-file.toml: cannot be read";
}

/// Guards against a tool that never ends, or that fills the memory, at a gateway that sends without end.
#[test]
fn an_answer_without_end_exits_with_4() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let door = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while stream.write_all(&[b'a'; 64 * 1024]).is_ok() {}
    });
    let output = run(&["--door", &door, "jobs"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(4), "{text}");
    assert!(text.contains("larger than"), "{text}");
}
