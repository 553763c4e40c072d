//! Help texts, argument parsing and environment variables of the command line.

mod common;

use std::fmt::Write;

use bpaf::Args;
use common::{TOKEN, parse_failure, run_in};
use ebonylugctl::{Environment, Outcome, parse};

/// Guards against unintended changes to the help, which documents commands and exit codes.
#[test]
fn help() {
    let commands: [&[&str]; 14] = [
        &[],
        &["get"],
        &["apply"],
        &["delete"],
        &["watch"],
        &["drain"],
        &["restore"],
        &["move"],
        &["events"],
        &["state"],
        &["quarantine"],
        &["quarantine", "list"],
        &["quarantine", "release"],
        &["hash-token"],
    ];
    let mut text = String::new();
    for command in commands {
        let help = parse_failure(&[command, &["--help"]].concat());
        writeln!(text, "== {}\n{help}", command.join(" ")).unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against an exit code that the help does not list.
#[test]
fn help_lists_each_exit_code() {
    let help = parse_failure(&["--help"]);
    let outcomes = [
        Outcome::Done,
        Outcome::NoResponse,
        Outcome::Refused,
        Outcome::Conflict,
        Outcome::RolledBack,
        Outcome::MoveRefused,
        Outcome::TimedOut,
        Outcome::Denied,
    ];
    for (code, outcome) in outcomes.into_iter().enumerate() {
        assert_eq!(usize::from(outcome.code()), code);
        assert!(
            help.lines()
                .any(|line| line.starts_with(&format!("{code}  "))),
            "{code}: {help}"
        );
    }
}

/// Guards against invalid arguments that are accepted, or rejected without a useful reason.
#[test]
fn invalid_arguments() {
    let cases: [&[&str]; 17] = [
        &["get"],
        &["get", "engines"],
        &["get", "targets", "../x"],
        &["get", "targets", ".."],
        &["get", "targets", "a", "b"],
        &["get", "targets", "-o", "yaml"],
        &["get", "targets", "--server", "https://127.0.0.1:1"],
        &["get", "targets", "--server", "http://localhost:1"],
        &["apply"],
        &["delete", "target"],
        &["watch", "--since", "x"],
        &["drain"],
        &["move", "assistant", "sisal-2"],
        &["move", "assistant", "sisal-2", "--by", "tomorrow"],
        &[
            "move",
            "assistant",
            "sisal-2",
            "--by",
            "30m",
            "--canary",
            "2",
        ],
        &["events", "--request", "x"],
        &["quarantine", "release", "x"],
    ];
    let mut text = String::new();
    for case in cases {
        let reason = parse_failure(case);
        writeln!(
            text,
            "{}\n    {}",
            case.join(" "),
            reason.trim().replace('\n', "\n    ")
        )
        .unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against rejecting the accepted spellings of a kind, or options before or after the command.
#[test]
fn kind_spellings_and_option_positions() {
    let parsed =
        |arguments: &[&str]| parse(Args::from(arguments)).expect("the arguments are valid");
    let zones = format!("{:?}", parsed(&["get", "availabilityzones"]));
    for kind in [
        "AvailabilityZone",
        "availabilityzone",
        "ZONES",
        "zone",
        "AvailabilityZones",
    ] {
        assert_eq!(format!("{:?}", parsed(&["get", kind])), zones, "{kind}");
    }
    let server = "http://127.0.0.1:7101";
    for arguments in [
        ["--server", server, "get", "tiers"],
        ["get", "--server", server, "tiers"],
        ["get", "tiers", "--server", server],
    ] {
        let parsed = format!("{:?}", parsed(&arguments));
        assert!(parsed.contains("Server(127.0.0.1:7101)"), "{parsed}");
    }
}

/// Guards against a command that runs without an address or a valid token, and against output that
/// contains the token.
#[tokio::test]
async fn environment() {
    let file = std::env::temp_dir().join(format!("ebonylugctl-token-{}", std::process::id()));
    std::fs::write(&file, format!("{TOKEN} with spaces\n")).unwrap();
    let path = file.to_str().unwrap();
    let with = |server: Option<&str>, token: Option<&str>| Environment {
        server: server.map(Into::into),
        token: token.map(Into::into),
    };
    let address = Some("http://127.0.0.1:1");
    let cases: [(Environment, &[&str], &str); 6] = [
        (
            with(None, Some(TOKEN)),
            &["get", "tiers"],
            "use --server or set EBONYLUG_SERVER",
        ),
        (
            with(Some("127.0.0.1"), Some(TOKEN)),
            &["get", "tiers"],
            "EBONYLUG_SERVER: \"127.0.0.1\"",
        ),
        (
            with(address, None),
            &["get", "tiers"],
            "set EBONYLUG_TOKEN or use --token-file",
        ),
        (
            with(address, Some("")),
            &["get", "tiers"],
            "the token is empty",
        ),
        (
            with(address, Some("a-secret-token\u{e9}")),
            &["get", "tiers"],
            "not visible ASCII",
        ),
        (
            with(address, None),
            &["get", "tiers", "--token-file", path],
            "not visible ASCII",
        ),
    ];
    for (environment, arguments, reason) in cases {
        let result = run_in(&environment, arguments, "").await;
        assert_eq!(result.outcome, Outcome::Refused, "{result:?}");
        assert!(result.errors.contains(reason), "{result:?}");
        let debug = format!("{environment:?}");
        assert!(!(result.errors + &result.output + &debug).contains(TOKEN));
    }
    std::fs::remove_file(&file).unwrap();
    let missing = run_in(
        &with(address, None),
        &["get", "tiers", "--token-file", path],
        "",
    )
    .await;
    assert_eq!(missing.outcome, Outcome::Refused);
    assert!(missing.errors.contains(path), "{missing:?}");
}

/// Guards against a hash that differs from the token hashes in settings and resources.
#[tokio::test]
async fn hash_token() {
    let none = Environment::default();
    for input in [
        "fibras-demo-token",
        "fibras-demo-token\n",
        "  fibras-demo-token\r\n",
    ] {
        let result = run_in(&none, &["hash-token"], input).await;
        assert_eq!(result.outcome, Outcome::Done);
        let hash = result.output.trim_end();
        assert!(
            ebonylug_demo::FIBRAS.contains(&format!("tokens: [\"{hash}\"]")),
            "{hash}"
        );
    }
    let long = "x".repeat(5000);
    for input in ["", "\n", "two words", "caf\u{e9}", &long] {
        let result = run_in(&none, &["hash-token"], input).await;
        assert_eq!(result.outcome, Outcome::Refused, "{input:?}");
        assert_eq!(result.output, "");
    }
}
