//! JSON, base64 and HTTP, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub(crate) fn parse(text: &str) -> Option<Json> {
        let mut bytes = text.as_bytes();
        let value = Json::value(&mut bytes)?;
        Some(value)
    }

    pub(crate) fn skip(bytes: &mut &[u8]) {
        while let [b' ' | b'\n' | b'\r' | b'\t', rest @ ..] = bytes {
            *bytes = rest;
        }
    }

    pub(crate) fn value(bytes: &mut &[u8]) -> Option<Json> {
        Json::skip(bytes);
        match *bytes.first()? {
            b'{' => {
                *bytes = &bytes[1..];
                let mut fields = Vec::new();
                loop {
                    Json::skip(bytes);
                    match *bytes.first()? {
                        b'}' => {
                            *bytes = &bytes[1..];
                            return Some(Json::Table(fields));
                        }
                        b',' => *bytes = &bytes[1..],
                        _ => {
                            let Json::Text(name) = Json::value(bytes)? else {
                                return None;
                            };
                            Json::skip(bytes);
                            *bytes = bytes.strip_prefix(b":")?;
                            fields.push((name, Json::value(bytes)?));
                        }
                    }
                }
            }
            b'[' => {
                *bytes = &bytes[1..];
                let mut items = Vec::new();
                loop {
                    Json::skip(bytes);
                    match *bytes.first()? {
                        b']' => {
                            *bytes = &bytes[1..];
                            return Some(Json::List(items));
                        }
                        b',' => *bytes = &bytes[1..],
                        _ => items.push(Json::value(bytes)?),
                    }
                }
            }
            b'"' => {
                *bytes = &bytes[1..];
                let mut text = Vec::new();
                loop {
                    match *bytes.first()? {
                        b'"' => {
                            *bytes = &bytes[1..];
                            return Some(Json::Text(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            text.push(match *bytes.get(1)? {
                                b'n' => b'\n',
                                other => other,
                            });
                            *bytes = &bytes[2..];
                        }
                        other => {
                            text.push(other);
                            *bytes = &bytes[1..];
                        }
                    }
                }
            }
            _ => {
                let end = bytes
                    .iter()
                    .position(|b| b",]} \n\r\t".contains(b))
                    .unwrap_or(bytes.len());
                let word = std::str::from_utf8(&bytes[..end]).ok()?;
                let value = match word {
                    "null" => Json::Null,
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    number => Json::Number(number.parse().ok()?),
                };
                *bytes = &bytes[end..];
                Some(value)
            }
        }
    }

    pub(crate) fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub(crate) fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub(crate) fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub(crate) fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub(crate) fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = word >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub(crate) fn base64_decode(text: &str) -> Vec<u8> {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => Some(u32::from(byte - b'A')),
        b'a'..=b'z' => Some(u32::from(byte - b'a') + 26),
        b'0'..=b'9' => Some(u32::from(byte - b'0') + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in text.bytes().filter_map(digit) {
        word = word << 6 | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

/// The head of a request or a response, with its body unless that is a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    pub(crate) start: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Reads the start line and the headers. Returns `None` at the end of the connection.
    pub(crate) fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let text = line.trim_end();
            if message.start.is_empty() {
                message.start = text.into();
            } else if text.is_empty() {
                return Ok(Some(message));
            } else if let Some((name, value)) = text.split_once(':') {
                message.headers.push((name.into(), value.trim().into()));
            }
        }
    }

    /// Reads a message with its body. Returns `None` at the end of the connection.
    pub(crate) fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let Some(mut message) = Message::read_head(reader)? else {
            return Ok(None);
        };
        if message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            while let Some(mut chunk) = read_chunk(reader)? {
                message.body.append(&mut chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    pub(crate) fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one chunk of a body, or `None` for the last one.
pub(crate) fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

pub(crate) fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Serves each connection in a thread of its own. `serve` returns whether the connection is kept.
pub(crate) fn listen<F>(listener: TcpListener, serve: F)
where
    F: Fn(Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(message)) = Message::read(&mut reader) {
                    if !serve(message, &mut writer).unwrap_or(false) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}
