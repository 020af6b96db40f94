//! A small JSON reader and writer.

use std::{collections::BTreeMap, fmt};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Self::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Self {
        Self::List(list)
    }
}

/// Builds a table of the given fields.
pub fn table(fields: &[(&str, Json)]) -> Json {
    let fields = fields.iter();
    Json::Table(fields.map(|(name, value)| ((*name).to_owned(), value.clone())).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write!(f, "{text:?}"),
            Self::List(list) => {
                f.write_str("[")?;
                for (index, item) in list.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Self::Table(fields) => {
                f.write_str("{")?;
                for (index, (name, item)) in fields.iter().enumerate() {
                    write!(f, "{}{name:?}:{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("}")
            }
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn expect(bytes: &[u8], at: &mut usize, byte: u8) -> Option<()> {
    skip(bytes, at);
    (bytes.get(*at) == Some(&byte)).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            if expect(bytes, at, b'}').is_some() {
                return Some(Json::Table(fields));
            }
            loop {
                skip(bytes, at);
                let name = string(bytes, at)?;
                expect(bytes, at, b':')?;
                fields.insert(name, value(bytes, at)?);
                if expect(bytes, at, b',').is_none() {
                    expect(bytes, at, b'}')?;
                    return Some(Json::Table(fields));
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            if expect(bytes, at, b']').is_some() {
                return Some(Json::List(list));
            }
            loop {
                list.push(value(bytes, at)?);
                if expect(bytes, at, b',').is_none() {
                    expect(bytes, at, b']')?;
                    return Some(Json::List(list));
                }
            }
        }
        b'"' => Some(Json::Text(string(bytes, at)?)),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(Json::Number(text.parse().ok()?))
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(text.as_bytes()).then(|| {
        *at += text.len();
        value
    })
}

/// Texts in these protocols are plain; of the escapes, those of one character are read.
fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    (bytes.get(*at) == Some(&b'"')).then_some(())?;
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                text.push(match *bytes.get(*at + 1)? {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
                *at += 2;
            }
            other => {
                text.push(other);
                *at += 1;
            }
        }
    }
}
