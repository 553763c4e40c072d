//! A requester behind a slow link.

use std::ffi::c_void;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site;

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

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(socket: i32, address: *const c_void, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

/// A request for a large answer, and the link over which it comes.
#[derive(Clone)]
pub struct Download {
    pub id: String,
    pub front: SocketAddr,
    /// The speed of the link, in bytes per second.
    pub speed: usize,
    /// The size of the answer.
    pub size: usize,
}

/// Sends a request on a kept channel and reads its answer at the speed of the link. Returns the body.
pub fn receive(record: &Record, download: &Download) -> std::io::Result<Vec<u8>> {
    let id = &download.id;
    let mut stream = connect(download.front)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let request = site::request("GET /stock/7", id, 15_000, &[], b"");
    record.line(&format!("request {id} sent"));
    stream.write_all(&request)?;
    let started = Instant::now();
    let (mut received, mut buffer) = (Vec::new(), vec![0; 16 << 10]);
    loop {
        let due = Duration::from_secs_f64(received.len() as f64 / download.speed as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => {
                record.line(&format!("request {id}: the channel broke: {error}"));
                break;
            }
        }
        if body_start(&received).is_some_and(|at| received.len() >= at + download.size) {
            break;
        }
    }
    let at = body_start(&received).unwrap_or(received.len());
    record.line(&format!(
        "request {id} answered {:?}, {} bytes of body after {:.2} s",
        String::from_utf8_lossy(&received[..at.min(200)]),
        received.len() - at,
        started.elapsed().as_secs_f64()
    ));
    Ok(received.split_off(at))
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
