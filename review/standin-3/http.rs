//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or a response.
#[derive(Debug)]
pub struct Message {
    /// Target of a request, or status of a response.
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_whole: bool,
}

impl Message {
    /// The first value of a header; empty without one.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Reads a message with a length or in chunks; `None` if the connection ends before the end of its
/// head. `buf` keeps what was read behind it. A response whose body breaks off is returned as such if
/// `in_part`.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>, in_part: bool) -> Option<Message> {
    read_message_with(stream, buf, in_part, |_| ())
}

/// Like [`read_message`], and calls `on_head` when the head has been read.
pub fn read_message_with(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    in_part: bool,
    on_head: impl FnOnce(&Message),
) -> Option<Message> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buf)?;
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.splitn(3, ' ').map(str::to_owned);
    // Behind the method of a request, or the version of a response.
    let target = words.nth(1)?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        target,
        headers,
        body: Vec::new(),
        is_whole: true,
    };
    on_head(&message);
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let line_end = loop {
                if let Some(at) = buf.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                read_more(stream, buf)?;
            };
            let size = String::from_utf8_lossy(&buf[..line_end]).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).ok()?;
            while buf.len() < line_end + 2 + size + 2 {
                read_more(stream, buf)?;
            }
            message
                .body
                .extend_from_slice(&buf[line_end + 2..line_end + 2 + size]);
            buf.drain(..line_end + 2 + size + 2);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while buf.len() < length {
        if read_more(stream, buf).is_none() {
            message.is_whole = false;
            message.body = std::mem::take(buf);
            return in_part.then_some(message);
        }
    }
    message.body = buf.drain(..length).collect();
    Some(message)
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 * 1024];
    match stream.read(&mut chunk) {
        Ok(read @ 1..) => {
            buf.extend_from_slice(&chunk[..read]);
            Some(())
        }
        _ => None,
    }
}

/// Writes all bytes.
pub fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)
}

/// Decodes `%XX`.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}
