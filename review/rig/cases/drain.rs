//! An entry is stopped while a requester still receives an answer that the engine has completed.

use std::ffi::c_void;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

use super::Outcome;
use crate::engine::{Fleet, Run};
use crate::record::Record;
use crate::site::{self, Site};

/// The size of the answer. The limit of the settings is 8 MiB.
const ANSWER_BYTES: usize = 6_500_000;
/// The speed of the requester's link, in bytes per second: 10 Mbit/s.
const LINK_BYTES: usize = 1_250_000;
/// The receive window of the requester.
const WINDOW_BYTES: i32 = 64 << 10;
/// The segments of the requester's link.
const SEGMENT_BYTES: i32 = 1_400;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// The bound `grace_s`.
const GRACE: Duration = Duration::from_secs(8);

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(socket: i32, address: *const c_void, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut site = Site::new(&["liberia-a", "canas-b"]);
    let body: Vec<u8> = (0..ANSWER_BYTES).map(|i| (i % 251) as u8).collect();
    let expected = body.clone();
    let fleet = Fleet::new(&site.store, record, move |_, _| {
        Run::Answer(200, body.clone())
    });
    for zone in ["liberia-a", "canas-b", "nicoya-c"] {
        fleet.start("desk", zone, "127.0.0.1");
    }
    if let Err(error) = site.start(true) {
        return Outcome::Unable(error);
    }
    thread::sleep(Duration::from_secs(4));
    let front = site.machines[0].front();
    let reader = {
        let record = record.clone();
        thread::spawn(move || receive(&record, front))
    };
    thread::sleep(Duration::from_millis(200));
    if record.runs().len() != 1 {
        return Outcome::Unable("the request has not reached an engine".into());
    }
    if trouble {
        record.line("SIGTERM");
        site.machines[0].terminate();
        let sent = Instant::now();
        let ended = site.machines[0].wait_end(GRACE);
        record.line(&format!(
            "the process ended {:.2} s after SIGTERM, by itself: {ended}",
            sent.elapsed().as_secs_f64()
        ));
    }
    let Ok(Ok((whole, received))) = reader.join() else {
        return Outcome::Unable("the requester failed".into());
    };
    let text = format!(
        "{} of {ANSWER_BYTES} bytes of the answer arrived",
        received.len()
    );
    match whole && received == expected {
        true => Outcome::Held(text),
        false => Outcome::Broken(text),
    }
}

/// Sends a request and reads its answer at the speed of the link. Returns whether the answer is complete,
/// and its body.
fn receive(record: &Record, front: SocketAddr) -> std::io::Result<(bool, Vec<u8>)> {
    let mut stream = connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let request = site::request("GET /stock/7", "stock0000000001", 15_000, &[], b"");
    record.line("request stock0000000001 sent");
    stream.write_all(&request)?;
    let started = Instant::now();
    let (mut received, mut buffer) = (Vec::new(), vec![0; 16 << 10]);
    loop {
        let due = Duration::from_secs_f64(received.len() as f64 / LINK_BYTES as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => {
                record.line(&format!("the channel broke: {error}"));
                break;
            }
        }
        if body_start(&received).is_some_and(|at| received.len() >= at + ANSWER_BYTES) {
            break;
        }
    }
    let at = body_start(&received).unwrap_or(received.len());
    record.line(&format!(
        "answer: {:?}, {} bytes of body after {:.2} s",
        String::from_utf8_lossy(&received[..at.min(200)]),
        received.len() - at,
        started.elapsed().as_secs_f64()
    ));
    let body = received.split_off(at);
    Ok((body.len() == ANSWER_BYTES, body))
}

/// Connects with the segments and the window of a link, rather than those of loopback.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    // Family, port and address, as `sockaddr_in` holds them.
    let mut target = [0u8; 16];
    target[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    target[2..4].copy_from_slice(&address.port().to_be_bytes());
    target[4..8].copy_from_slice(&address.ip().octets());
    let check = |result: i32| match result {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    };
    unsafe {
        let socket = socket(AF_INET, SOCK_STREAM, 0);
        if socket < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(socket);
        for (level, name, value) in [
            (SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES),
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES),
        ] {
            let value = &value as *const i32;
            check(setsockopt(
                socket,
                level,
                name,
                value.cast(),
                size_of::<i32>() as u32,
            ))?;
        }
        check(connect_socket(
            socket,
            target.as_ptr().cast(),
            target.len() as u32,
        ))?;
        Ok(stream)
    }
}

fn body_start(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    Some(end + 4)
}
