//! The JSON that the store's calls need.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser(text.as_bytes());
        let value = parser.value()?;
        parser.space();
        parser.0.is_empty().then_some(value)
    }

    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.field(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.field(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.field(name) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }
}

struct Parser<'a>(&'a [u8]);

impl Parser<'_> {
    fn space(&mut self) {
        while self.0.first().is_some_and(u8::is_ascii_whitespace) {
            self.0 = &self.0[1..];
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        let rest = self.0.strip_prefix(&[byte])?;
        self.0 = rest;
        Some(())
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.0 = self.0.strip_prefix(word.as_bytes())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.0.first()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let end = self
            .0
            .iter()
            .position(|byte| !is_part(byte))
            .unwrap_or(self.0.len());
        let (digits, rest) = self.0.split_at(end);
        self.0 = rest;
        std::str::from_utf8(digits)
            .ok()?
            .parse()
            .ok()
            .map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let (first, rest) = self.0.split_first()?;
            self.0 = rest;
            match first {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let (escaped, rest) = self.0.split_first()?;
                    self.0 = rest;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.0.get(..4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.0 = &self.0[4..];
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(text.as_bytes());
                        }
                        other => bytes.push(*other),
                    }
                }
                other => bytes.push(*other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            let value = self.value()?;
            fields.insert(name, value);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(character);
            }
            control if (control as u32) < 0x20 => {
                quoted.push_str(&format!("\\u{:04x}", control as u32));
            }
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}
