//! Responses whose head is wrong or incomplete.

mod common;

use common::{Harness, ScriptedTarget, Step, chunk, event, get, run, status};

const ROUTES: [&str; 4] = ["safe", "once", "stream", "plainstream"];

/// Returns the response of an entry whose only target sends these bytes and closes the connection.
fn answer(route: &str, bytes: String) -> String {
    let mut response = String::new();
    run(async {
        let target = ScriptedTarget::start("engine-1", vec![Step::Close(bytes)]).await;
        let harness = Harness::start(&[&target]).await;
        response = harness.call(&get(route, "r1")).await;
    });
    response
}

/// Guards against a status that is none of HTTP and reaches the caller, or is taken for a success.
#[test]
fn a_status_that_is_not_final_or_unknown_is_no_answer() {
    for code in [
        "000", "001", "099", "100", "101", "102", "103", "199", "600", "700", "999", "20", "2000",
        "2x0", "-20", "",
    ] {
        for route in ROUTES {
            for body in [
                "content-length: 4\r\n\r\nbody",
                "\r\nbody",
                "content-length: 0\r\n\r\n",
            ] {
                let bytes = format!("HTTP/1.1 {code} Odd\r\nx-id: r1\r\nx-signature: s\r\n{body}");
                let response = answer(route, bytes);
                let message = format!("{code:?} on {route}: {response}");
                assert_eq!(status(&response), 502, "{message}");
                assert!(!response.contains("x-signature"), "{message}");
            }
        }
    }
}

/// Guards against a success without the body that its head announces: one wrong byte makes 200 a 204.
#[test]
fn a_status_without_body_that_announces_one_is_no_answer() {
    let chunked = format!(
        "transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk("body")
    );
    for body in ["content-length: 4\r\n\r\nbody", &chunked] {
        for route in ROUTES {
            let head = "HTTP/1.1 204 OK\r\nx-id: r1\r\nx-signature: s\r\n";
            let response = answer(route, format!("{head}{body}"));
            assert_eq!(status(&response), 502, "{route}: {response}");
        }
    }
}

/// Guards against an answer that looks whole although its target stopped in the middle of the head.
#[test]
fn a_head_that_stops_at_any_byte_is_no_answer() {
    let id = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signature: s\r\n";
    let chunks = chunk(&event(1));
    for whole in [
        format!("{id}content-length: 4\r\n\r\n"),
        format!("{id}content-length: 0\r\n\r\n"),
        format!("{id}transfer-encoding: chunked\r\n\r\n{chunks}"),
        format!("{id}connection: close\r\n\r\n"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{id}content-length: 0\r\n\r\n"),
    ] {
        let end = whole.rfind("\r\n\r\n").expect("the end of the head") + 4;
        for length in 0..end {
            // Each byte on one kind of route, and each part of a head on all of them.
            let route = ROUTES[length % ROUTES.len()];
            let response = answer(route, whole[..length].to_owned());
            let message = format!("{:?} on {route}: {response}", &whole[..length]);
            assert_eq!(status(&response), 502, "{message}");
        }
    }
}
