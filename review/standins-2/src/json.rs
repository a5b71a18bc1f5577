//! The little JSON and base64 that the store's protocol needs.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            rest: text.as_bytes(),
        };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn space(&mut self) {
        while let Some((b' ' | b'\n' | b'\r' | b'\t', rest)) = self.rest.split_first() {
            self.rest = rest;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.space();
        if self.rest.first() == Some(&byte) {
            self.rest = &self.rest[1..];
            return true;
        }
        false
    }

    fn word(&mut self, word: &[u8], value: Json) -> Option<Json> {
        self.rest = self.rest.strip_prefix(word)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.rest.first()? {
            b'{' => {
                self.eat(b'{');
                let mut map = BTreeMap::new();
                while !self.eat(b'}') {
                    self.space();
                    let name = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    map.insert(name, self.value()?);
                    self.eat(b',');
                }
                Some(Json::Map(map))
            }
            b'[' => {
                self.eat(b'[');
                let mut list = Vec::new();
                while !self.eat(b']') {
                    list.push(self.value()?);
                    self.eat(b',');
                }
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word(b"true", Json::Bool(true)),
            b'f' => self.word(b"false", Json::Bool(false)),
            b'n' => self.word(b"null", Json::Null),
            _ => {
                let is_number = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                let length = self.rest.iter().take_while(|byte| is_number(byte)).count();
                let (number, rest) = self.rest.split_at(length);
                self.rest = rest;
                std::str::from_utf8(number)
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.rest = self.rest.strip_prefix(b"\"")?;
        let mut bytes = Vec::new();
        loop {
            let (first, rest) = self.rest.split_first()?;
            self.rest = rest;
            match first {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let (escape, rest) = self.rest.split_first()?;
                    self.rest = rest;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.rest.get(..4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.rest = &self.rest[4..];
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
}

/// Encodes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for one in text.chars() {
        match one {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            one if (one as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", one as u32)),
            one => quoted.push(one),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let three = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(three[0]) << 16 | u32::from(three[1]) << 8 | u32::from(three[2]);
        for place in 0..4 {
            let digit = (bits >> (18 - 6 * place)) & 63;
            let is_padding = place > part.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[digit as usize])
            });
        }
    }
    text
}
