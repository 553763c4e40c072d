//! As much of JSON as the store's calls need, and base64.

/// A parsed value.
#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    /// Returns the field of a table.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns the text of a field; empty if there is none.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns the number of a field; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Value::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the entries of a list in a field.
    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(entries)) => entries,
            _ => &[],
        }
    }
}

/// Parses a text.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut parser = Parser { text, at: 0 };
    parser.value()
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        found.then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Value::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut entries = Vec::new();
                while self.peek()? != b']' {
                    entries.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Value::List(entries))
            }
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|b| b"+-.eE0123456789".contains(b))
                {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Value::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escaped = *self.text.get(self.at + 1)?;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                    self.at += 2;
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
