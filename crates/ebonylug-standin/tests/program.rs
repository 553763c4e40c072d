//! The command line of the fakes.

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

/// Guards against settings and arguments that are ignored, or refused without a usable reason.
#[test]
fn errors_name_the_place() {
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
        let (output, shown) = run(&["engine", "--settings", path]);
        assert!(!output.status.success(), "{text}");
        assert!(shown.contains(reason), "{text}: {shown}");
    }
    std::fs::remove_file(&file).unwrap();
    let (_, shown) = run(&["engine", "--settings", path]);
    assert!(shown.contains("cannot read"), "{shown}");
    let (output, _) = run(&["other"]);
    assert!(!output.status.success());
    let (output, shown) = run(&["--help"]);
    assert!(output.status.success() && shown.contains("platform") && shown.contains("--version"));
    let (_, shown) = run(&["--version"]);
    assert!(shown.contains(env!("CARGO_PKG_VERSION")), "{shown}");
}

/// Guards against a process that does not print its address, or does not serve on it.
#[test]
fn listens() {
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
