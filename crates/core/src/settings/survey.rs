//! Finds every fault of types and keys in one go.
//!
//! Decoding ends at the first fault. So the fault is mended in a copy of the document with a
//! stand-in value, and decoding starts again, until nothing is left to tell.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, Deserializer, Error};

use crate::settings::{SettingsFault, fault_of};

/// A document with the places of its keys and values.
pub(super) type Document<'a> = Spanned<DeTable<'a>>;

/// Faults after which the survey ends.
const FAULT_LIMIT: usize = 100;
/// Stand-ins, one of which suits each type that settings have.
const STAND_INS: &str = r#"a = "127.0.0.1:1"
b = 1
c = 0.5
d = true
e = "text"
f = {}
g = []
"#;
/// Start of the message for a key that's missing.
const MISSING: &str = "missing field `";
/// Start of the message for a key that isn't known.
const UNKNOWN: &str = "unknown field `";

/// Decodes a document, or lists all its faults.
pub(super) fn survey<T: DeserializeOwned>(
    text: &str,
    mut document: Document<'_>,
) -> Result<T, Vec<SettingsFault>> {
    let mut error = match decode(&document) {
        Ok(settings) => return Ok(settings),
        Err(error) => error,
    };
    let mut faults = Vec::new();
    for number in 1..=FAULT_LIMIT {
        // Stand-ins lie behind the text; what's missing in them needn't be told.
        if place(&error).start <= text.len() {
            faults.push(fault_of(text, &error));
        }
        let Some(mended) = mend::<T>(&document, &error, text.len() + number) else {
            break;
        };
        document = mended;
        error = match decode::<T>(&document) {
            Ok(_) => break,
            Err(next) => next,
        };
    }
    Err(faults)
}

fn decode<T: DeserializeOwned>(document: &Document<'_>) -> Result<T, Error> {
    T::deserialize(Deserializer::from(document.clone()))
}

fn place(error: &Error) -> Range<usize> {
    error.span().unwrap_or_default()
}

/// The document without one fault. A stand-in value is put at the offset `free`.
fn mend<'a, T: DeserializeOwned>(
    document: &Document<'a>,
    error: &Error,
    free: usize,
) -> Option<Document<'a>> {
    let span = place(error);
    if error.message().starts_with(UNKNOWN) {
        let mut mended = document.clone();
        remove(mended.get_mut(), &span);
        return Some(mended);
    }
    let stand_ins = DeTable::parse(STAND_INS).ok()?.into_inner();
    stand_ins.into_iter().find_map(|(_, value)| {
        let value = Spanned::new(free..free + 1, value.into_inner());
        let mut mended = document.clone();
        match missing(error) {
            Some(key) => insert(&mut mended, &span, key, value),
            None => replace(mended.get_mut(), &span, &value),
        }
        suits::<T>(&mended, free).then_some(mended)
    })
}

/// Whether the stand-in at the offset `free` has the type that's wanted there.
fn suits<T: DeserializeOwned>(document: &Document<'_>, free: usize) -> bool {
    match decode::<T>(document) {
        Ok(_) => true,
        Err(next) => place(&next).start != free || missing(&next).is_some(),
    }
}

/// The key that's missing, where that's the fault.
fn missing(error: &Error) -> Option<&str> {
    error.message().strip_prefix(MISSING)?.strip_suffix('`')
}

fn remove(table: &mut DeTable<'_>, span: &Range<usize>) {
    let unknown = table.keys().find(|key| key.span() == *span).cloned();
    if let Some(unknown) = unknown {
        table.remove(&unknown);
    }
    for (_, value) in table.iter_mut() {
        for inner in tables(value) {
            remove(inner, span);
        }
    }
}

fn replace<'a>(table: &mut DeTable<'a>, span: &Range<usize>, stand_in: &Spanned<DeValue<'a>>) {
    for (_, value) in table.iter_mut() {
        if value.span() == *span {
            *value = stand_in.clone();
        }
        for inner in tables(value) {
            replace(inner, span, stand_in);
        }
    }
}

fn insert<'a>(
    document: &mut Document<'a>,
    span: &Range<usize>,
    key: &str,
    stand_in: Spanned<DeValue<'a>>,
) {
    let is_root = document.span() == *span;
    if let Some(table) = find(document.get_mut(), is_root, span) {
        let key = Spanned::new(stand_in.span(), key.to_owned().into());
        table.insert(key, stand_in);
    }
}

/// The table at `span`; `found` says that it's this one.
fn find<'t, 'a>(
    table: &'t mut DeTable<'a>,
    found: bool,
    span: &Range<usize>,
) -> Option<&'t mut DeTable<'a>> {
    if found {
        return Some(table);
    }
    table.iter_mut().find_map(|(_, value)| {
        let found = value.span() == *span;
        let mut tables = tables(value).into_iter();
        tables.find_map(|inner| find(inner, found, span))
    })
}

/// The tables directly in a value.
fn tables<'t, 'a>(value: &'t mut Spanned<DeValue<'a>>) -> Vec<&'t mut DeTable<'a>> {
    match value.get_mut() {
        DeValue::Table(table) => vec![table],
        DeValue::Array(array) => array.iter_mut().flat_map(tables).collect(),
        _ => Vec::new(),
    }
}
