//! Decodes a settings document and reports all type and key faults at once.
//!
//! The decoder stops at the first fault. Therefore the fault is repaired with a placeholder value
//! in a copy of the document, and decoding is repeated until no fault is left.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, Deserializer, Error};

use crate::settings::{SettingsFault, to_fault};

/// A parsed document with the spans of its keys and values.
pub(super) type Document<'a> = Spanned<DeTable<'a>>;

/// Maximum number of faults to report.
const MAX_FAULTS: usize = 100;
/// Placeholder values. For each type that occurs in settings, at least one of them decodes.
const PLACEHOLDERS: &str = r#"a = "127.0.0.1:1"
b = 1
c = 0.5
d = true
e = "text"
f = {}
g = []
"#;
/// Start of the decoder's message about a missing key.
const MISSING_PREFIX: &str = "missing field `";
/// Start of the decoder's message about an unknown key.
const UNKNOWN_PREFIX: &str = "unknown field `";

/// Decodes a document, or returns all its faults.
pub(super) fn decode_document<T: DeserializeOwned>(
    text: &str,
    mut document: Document<'_>,
) -> Result<T, Vec<SettingsFault>> {
    let mut error = match try_decode(&document) {
        Ok(settings) => return Ok(settings),
        Err(error) => error,
    };
    let mut faults = Vec::new();
    for number in 1..=MAX_FAULTS {
        // Placeholders have spans after the end of the text; faults inside them aren't reported.
        if span_of(&error).start <= text.len() {
            faults.push(to_fault(text, &error));
        }
        let Some(repaired) = repair::<T>(&document, &error, text.len() + number) else {
            break;
        };
        document = repaired;
        error = match try_decode::<T>(&document) {
            Ok(_) => break,
            Err(next) => next,
        };
    }
    Err(faults)
}

fn try_decode<T: DeserializeOwned>(document: &Document<'_>) -> Result<T, Error> {
    T::deserialize(Deserializer::from(document.clone()))
}

fn span_of(error: &Error) -> Range<usize> {
    error.span().unwrap_or_default()
}

/// Returns the document with one fault repaired. A placeholder gets a span at `offset`.
fn repair<'a, T: DeserializeOwned>(
    document: &Document<'a>,
    error: &Error,
    offset: usize,
) -> Option<Document<'a>> {
    let span = span_of(error);
    if error.message().starts_with(UNKNOWN_PREFIX) {
        let mut repaired = document.clone();
        remove(repaired.get_mut(), &span);
        return Some(repaired);
    }
    let placeholders = DeTable::parse(PLACEHOLDERS).ok()?.into_inner();
    placeholders.into_iter().find_map(|(_, value)| {
        let value = Spanned::new(offset..offset + 1, value.into_inner());
        let mut repaired = document.clone();
        match missing_key(error) {
            Some(key) => insert(&mut repaired, &span, key, value),
            None => replace(repaired.get_mut(), &span, &value),
        }
        placeholder_fits::<T>(&repaired, offset).then_some(repaired)
    })
}

/// Whether the placeholder at `offset` has the expected type.
fn placeholder_fits<T: DeserializeOwned>(document: &Document<'_>, offset: usize) -> bool {
    match try_decode::<T>(document) {
        Ok(_) => true,
        Err(next) => span_of(&next).start != offset || missing_key(&next).is_some(),
    }
}

/// Returns the missing key, if the fault is a missing key.
fn missing_key(error: &Error) -> Option<&str> {
    error
        .message()
        .strip_prefix(MISSING_PREFIX)?
        .strip_suffix('`')
}

fn remove(table: &mut DeTable<'_>, span: &Range<usize>) {
    let unknown = table.keys().find(|key| key.span() == *span).cloned();
    if let Some(unknown) = unknown {
        table.remove(&unknown);
    }
    for (_, value) in table.iter_mut() {
        for inner in child_tables(value) {
            remove(inner, span);
        }
    }
}

fn replace<'a>(table: &mut DeTable<'a>, span: &Range<usize>, placeholder: &Spanned<DeValue<'a>>) {
    for (_, value) in table.iter_mut() {
        if value.span() == *span {
            *value = placeholder.clone();
        }
        for inner in child_tables(value) {
            replace(inner, span, placeholder);
        }
    }
}

fn insert<'a>(
    document: &mut Document<'a>,
    span: &Range<usize>,
    key: &str,
    placeholder: Spanned<DeValue<'a>>,
) {
    let is_target = document.span() == *span;
    if let Some(table) = find_table(document.get_mut(), is_target, span) {
        let key = Spanned::new(placeholder.span(), key.to_owned().into());
        table.insert(key, placeholder);
    }
}

/// Returns the table at `span`, which is `table` itself or nested in it. `is_target` tells whether
/// it is `table` itself.
fn find_table<'t, 'a>(
    table: &'t mut DeTable<'a>,
    is_target: bool,
    span: &Range<usize>,
) -> Option<&'t mut DeTable<'a>> {
    if is_target {
        return Some(table);
    }
    table.iter_mut().find_map(|(_, value)| {
        let is_target = value.span() == *span;
        let mut tables = child_tables(value).into_iter();
        tables.find_map(|inner| find_table(inner, is_target, span))
    })
}

/// Returns the table that a value is, or the tables in an array.
fn child_tables<'t, 'a>(value: &'t mut Spanned<DeValue<'a>>) -> Vec<&'t mut DeTable<'a>> {
    match value.get_mut() {
        DeValue::Table(table) => vec![table],
        DeValue::Array(array) => array.iter_mut().flat_map(child_tables).collect(),
        _ => Vec::new(),
    }
}
