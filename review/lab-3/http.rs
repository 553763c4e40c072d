//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The head of a request or an answer.
#[derive(Clone, Debug)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        let length = self.get("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. Returns `None` if the channel ended before it.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut text = String::new();
        if reader.read_line(&mut text)? == 0 {
            return Ok(None);
        }
        let text = text.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let line = line.trim_end().to_owned();
    Ok(Some(Head { line, fields }))
}

/// Reads a body of this length.
pub fn read_body(reader: &mut impl Read, length: usize) -> Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the rest of an answer to its end: with a length, in chunks or until the channel ends.
pub fn read_answer(reader: &mut impl BufRead, head: &Head) -> Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
            body.extend(read_body(reader, size)?);
            read_body(reader, 2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    if head.get("content-length").is_some() {
        return read_body(reader, head.length());
    }
    let mut body = Vec::new();
    reader.read_to_end(&mut body)?;
    Ok(body)
}

/// Sends a request on a new channel and reads the whole answer.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?
        .ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
    let body = read_answer(&mut reader, &head)?;
    Ok((head, body))
}

/// Serves each channel of a listener with `serve`, in a thread of its own.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Gives the channels of a listener a small receive window, as the links of the platform have.
pub fn set_small_window(listener: &TcpListener) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let size: i32 = 16 << 10;
    // SAFETY: the descriptor is open, and the value is an integer of the stated length.
    let result = unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &size, 4) };
    assert_eq!(result, 0, "the receive window can be set");
}
