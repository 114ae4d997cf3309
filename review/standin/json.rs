//! Just enough JSON for the bodies that daemons send.

use std::collections::HashMap;

#[derive(Clone, Debug, Default)]
pub enum Json {
    #[default]
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(HashMap<String, Json>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn as_u64(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn as_str(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => {
                out.push('\\');
                out.push(letter);
            }
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &str) -> Json {
    Parser { bytes: text.as_bytes(), at: 0 }.value()
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next_byte(&mut self) -> u8 {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.next_byte() {
            b'{' => {
                self.at += 1;
                let mut fields = HashMap::new();
                loop {
                    match self.next_byte() {
                        b'"' => {
                            let name = self.text();
                            self.next_byte();
                            self.at += 1;
                            fields.insert(name, self.value());
                        }
                        b',' => self.at += 1,
                        _ => break,
                    }
                }
                self.at += 1;
                Json::Table(fields)
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    match self.next_byte() {
                        b',' => self.at += 1,
                        b']' | 0 => break,
                        _ => items.push(self.value()),
                    }
                }
                self.at += 1;
                Json::List(items)
            }
            b'"' => Json::Text(self.text()),
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                    self.at += 1;
                }
                if self.at == from {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[from..self.at.min(self.bytes.len())]);
                word.ok().and_then(|word| word.parse().ok()).map_or(Json::Null, Json::Number)
            }
        }
    }

    fn text(&mut self) -> String {
        self.at += 1;
        let mut out = Vec::new();
        while let Some(byte) = self.bytes.get(self.at).copied() {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    if let Some(next) = self.bytes.get(self.at).copied() {
                        out.push(next);
                        self.at += 1;
                    }
                }
                byte => out.push(byte),
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}
