//! Messages of HTTP/1.1 on blocking sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its announced end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message. Returns `None` if the connection was closed before its head was complete.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = rest.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        if fill(stream, rest)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or_default().into(),
        ..Message::default()
    };
    message.headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().into()))
        .collect();
    if message.header("transfer-encoding").is_some() {
        message.whole = read_chunks(stream, rest, &mut message.body)?;
    } else {
        let length = message.header("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while rest.len() < length {
            match fill(stream, rest) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        message.whole = rest.len() >= length;
        let end = length.min(rest.len());
        message.body = rest.drain(..end).collect();
    }
    Ok(Some(message))
}

/// Reads a chunked body, and reports whether its last chunk arrived.
fn read_chunks(stream: &mut TcpStream, rest: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let end = loop {
            if let Some(at) = rest.windows(2).position(|part| part == b"\r\n") {
                break at;
            }
            if !matches!(fill(stream, rest), Ok(1..)) {
                return Ok(false);
            }
        };
        let size = usize::from_str_radix(String::from_utf8_lossy(&rest[..end]).trim(), 16);
        let size = size.map_err(io::Error::other)?;
        while rest.len() < end + 2 + size + 2 {
            if !matches!(fill(stream, rest), Ok(1..)) {
                return Ok(false);
            }
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok(true);
        }
    }
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; 16 << 10];
    let count = stream.read(&mut buffer)?;
    rest.extend_from_slice(&buffer[..count]);
    Ok(count)
}

/// Encodes a message with a content length.
pub fn encode(line: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection, and reads the answer until `limit` has passed.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Option<Message>> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(
        end.saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1)),
    ))?;
    stream.write_all(request)?;
    read(&mut stream, &mut Vec::new())
}
