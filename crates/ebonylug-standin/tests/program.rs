//! Tests of the command line of the fakes.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::process::{Command, Output, Stdio};

fn standin() -> Command {
    Command::new(env!("CARGO_BIN_EXE_ebonylug-standin"))
}

fn run(arguments: &[&str]) -> (Output, String) {
    let output = standin().args(arguments).output().unwrap();
    let text = [&*output.stdout, &*output.stderr].concat();
    (output, String::from_utf8(text).unwrap())
}

/// Guards against invalid settings and arguments that are ignored, or rejected without a message
/// that names the field or the position.
#[test]
fn errors_name_the_field_or_position() {
    let file = std::env::temp_dir().join(format!("standin-{}.json5", std::process::id()));
    let path = file.to_str().unwrap();
    let cases = [
        (
            "{\n  // a comment\n  slots: 'x',\n}",
            "3:10: expected number",
        ),
        ("{\n  slot: 1 }", "2:3: unknown field `slot`"),
        ("{ slots: 0 }", "setting `slots`: must be above 0"),
        (
            "{ faults: { fail_rate: 2 } }",
            "setting `faults.fail_rate`: must be from 0 to 1",
        ),
    ];
    for (text, reason) in cases {
        std::fs::write(&file, text).unwrap();
        let (output, message) = run(&["engine", "--settings", path]);
        assert!(!output.status.success(), "{text}");
        assert!(message.contains(reason), "{text}: {message}");
    }
    std::fs::remove_file(&file).unwrap();
    let (_, message) = run(&["engine", "--settings", path]);
    assert!(message.contains("cannot read"), "{message}");
    let (output, _) = run(&["other"]);
    assert!(!output.status.success());
    let (output, message) = run(&["--help"]);
    assert!(
        output.status.success() && message.contains("platform") && message.contains("--version")
    );
    let (_, message) = run(&["--version"]);
    assert!(message.contains(env!("CARGO_PKG_VERSION")), "{message}");
}

/// Guards against a process that does not print its address, or does not listen on it.
#[test]
fn prints_the_listen_address() {
    for kind in ["platform", "engine", "service"] {
        let arguments = [kind, "--listen", "127.0.0.1:0"];
        let mut child = standin()
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        let addr = line.trim().rsplit(' ').next().unwrap();
        let connected = TcpStream::connect(addr);
        child.kill().unwrap();
        child.wait().unwrap();
        assert!(connected.is_ok(), "{kind}: {line}");
    }
}
