//! As much of JSON and base64 as the stand-ins need.

use std::collections::BTreeMap;

/// A JSON value. `null`, `true` and `false` are texts.
#[derive(Debug)]
pub enum Value {
    Object(BTreeMap<String, Value>),
    List(Vec<Value>),
    Text(String),
    Number(f64),
}

impl Value {
    fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// A text field; empty if it is missing.
    pub fn text(&self, name: &str) -> String {
        match self.field(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// A field with a whole number; 0 if it is missing.
    pub fn number(&self, name: &str) -> u64 {
        match self.field(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// A list field; empty if it is missing.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.field(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

/// Parses a text; `None` if it is not JSON.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Value::Object(fields));
                    }
                    b',' | b':' => *at += 1,
                    _ => {
                        let name = text(bytes, at)?;
                        skip(bytes, at);
                        *at += 1;
                        fields.insert(name, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Value::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Value::Text(text(bytes, at)?)),
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|b| !b",]} \r\n\t".contains(b)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[from..*at]).ok()?;
            Some(
                word.parse()
                    .map_or_else(|_| Value::Text(word.into()), Value::Number),
            )
        }
    }
}

/// Parses a text in quotes. Escapes other than those of quotes and backslashes do not occur in what
/// the daemon writes.
fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                out.push(*bytes.get(*at)?);
            }
            byte => out.push(*byte),
        }
        *at += 1;
    }
}

/// A text in quotes.
pub fn quote(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    format!("\"{escaped}\"")
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
