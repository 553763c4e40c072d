//! Explaining the outcome of a request from log lines.

use bpaf::Args;
use ebonylugctl::{Console, Environment, Outcome, parse, run};

const LOG: &str = r#"
  12.5 entry-1 {"timestamp":"T3","level":"INFO","message":"not served","part":"request","request":"a1","route":"r-1","organisation":"mill","status":429,"reason":"quota","waited_ms":1,"attempts":0,"config":7,"config_age_ms":300,"queue":0}
{"timestamp":"T1","level":"INFO","message":"attempt failed","part":"attempt","request":"b2","route":"r-2","failure":"Unknown(\"connection reset\")","ran":true,"attempts":1}
{"timestamp":"T2","level":"INFO","message":"not served","part":"request","request":"b2","route":"r-2","status":502,"reason":"no_whole_answer","waited_ms":80,"attempts":1,"config":7,"config_age_ms":300,"queue":0}
{"timestamp":"T4","level":"INFO","message":"late stream","part":"stream","request":"c3","route":"r-3","target":"i-9","queue_ms":12,"first_ms":900,"pause_ms":40,"events":13,"attempts":1}
{"timestamp":"T5","level":"INFO","message":"late stream","part":"stream","request":"d4","route":"r-3","target":"i-9","queue_ms":700,"first_ms":900,"pause_ms":40,"events":13,"attempts":1}
{"timestamp":"T6","level":"INFO","message":"late stream","part":"stream","request":"e5","route":"r-3","target":"i-9","queue_ms":7,"first_ms":90,"pause_ms":400,"events":13,"attempts":1}
{"timestamp":"T7","level":"INFO","message":"caller left","part":"request","request":"f6","route":"r-3","waited_ms":2400,"attempts":1}
{"timestamp":"T8","level":"INFO","message":"late answer","part":"request","request":"a7","route":"r-4","target":"i-9","status":200,"queue_ms":5,"total_ms":405,"attempts":1,"config":7}
{"timestamp":"T8","level":"INFO","message":"failed by target","part":"request","request":"a8","route":"r-4","target":"i-9","status":500,"queue_ms":5,"total_ms":9,"attempts":1,"config":7}
{"timestamp":"T9","level":"INFO","message":"served","part":"request","request":"a9","route":"r-4","target":"i-9","status":200,"queue_ms":5,"total_ms":9,"attempts":1,"config":7}
not a line of a log
{"timestamp":
"#;

fn explain(request: &'static str) -> (Outcome, String) {
    let command_line: &'static [&'static str] = Box::leak(Box::new(["explain", request]));
    let arguments = parse(Args::from(command_line)).expect("the arguments are valid");
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let mut console = Console {
        input: &mut LOG.as_bytes(),
        output: &mut output,
        errors: &mut errors,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("the runtime can be built");
    let outcome = runtime.block_on(run(&arguments, &Environment::default(), &mut console));
    (
        outcome,
        String::from_utf8(output).expect("the output is UTF-8"),
    )
}

/// Guards against a cause that the log lines do not support.
#[test]
fn cause_follows_from_log_lines() {
    let cases = [
        ("a1", "the organisation mill is over its quota"),
        ("b2", r#"attempts failed: Unknown("connection reset")"#),
        ("c3", "the target i-9 took 888 ms to begin"),
        ("d4", "the request waited 700 ms for a target with room"),
        ("e5", "the target i-9 paused for 400 ms between events"),
        ("a7", "the target i-9 took 400 ms to answer"),
        ("a8", "the target i-9 answered with status 500"),
        ("a9", "it was served in time"),
        (
            "f6",
            "the caller left after 2400 ms; no attempt failed before",
        ),
    ];
    for (request, cause) in cases {
        let (outcome, text) = explain(request);
        assert_eq!(outcome, Outcome::Done);
        assert!(text.ends_with(&format!("cause: {cause}\n")), "{text}");
    }
}

/// Guards against lines of other requests, and lines that are not sorted by time.
#[test]
fn lines_of_the_request_in_order() {
    insta::assert_snapshot!(explain("b2").1, @r#"
    T1 attempt failed: attempts=1 failure=Unknown("connection reset") ran=true route=r-2
    T2 not served: attempts=1 config=7 config_age_ms=300 queue=0 reason=no_whole_answer route=r-2 status=502 waited_ms=80
    cause: attempts failed: Unknown("connection reset")
    "#);
}

/// Guards against reporting a cause for a request that does not occur in the log.
#[test]
fn unknown_request() {
    let (outcome, text) = explain("z9");
    assert_eq!(outcome, Outcome::Refused);
    assert!(text.contains("no line names this request"), "{text}");
}
