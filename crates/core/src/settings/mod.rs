//! Loads and validates TOML settings files.

mod survey;

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use filbertwheel_macros::value;
use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};

use crate::settings::survey::{Document, decode_document};

/// Why settings can't be loaded.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file isn't valid TOML, keys are unknown or missing, or values are invalid.
    #[display("{}", format_faults(path, faults))]
    Faults {
        /// Path of the file.
        path: PathBuf,
        /// All faults found, sorted by line.
        #[error(not(source))]
        faults: Vec<SettingsFault>,
    },
}

/// One fault in a settings file.
#[value]
#[derive(PartialOrd, Ord, Display)]
#[display("{line}: {detail}")]
pub struct SettingsFault {
    /// Line number, counted from 1.
    pub line: usize,
    /// Description of the fault and of what was expected.
    pub detail: String,
}

/// A value that has the right type but isn't valid.
#[value]
pub struct InvalidValue {
    /// Path of the key, such as `run.threads`.
    pub key: String,
    /// Requirement that the value must meet.
    pub requirement: &'static str,
}

/// Loads settings of type `T` and validates them with `check`, which returns all invalid values.
pub fn load_settings<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<InvalidValue>,
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text, check).map_err(|mut faults| {
        faults.sort();
        SettingsError::Faults {
            path: path.to_owned(),
            faults,
        }
    })
}

fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<InvalidValue>,
) -> Result<T, Vec<SettingsFault>> {
    let (document, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return Err(errors.iter().map(|error| to_fault(text, error)).collect());
    }
    let settings = decode_document::<T>(text, document.clone())?;
    let invalid = check(&settings);
    if invalid.is_empty() {
        return Ok(settings);
    }
    let fault = |InvalidValue { key, requirement }| SettingsFault {
        line: line_of(text, offset_of(&document, &key)),
        detail: format!("{key} {requirement}"),
    };
    Err(invalid.into_iter().map(fault).collect())
}

fn to_fault(text: &str, error: &toml::de::Error) -> SettingsFault {
    SettingsFault {
        line: line_of(text, error.span().map_or(0, |span| span.start)),
        detail: error.message().to_owned(),
    }
}

/// Returns the offset of the value of a key. If the key doesn't exist, returns the offset of the
/// innermost table on its path.
fn offset_of(document: &Document<'_>, key: &str) -> usize {
    let (first, rest) = key.split_once('.').unwrap_or((key, ""));
    let Some(mut value) = document.get_ref().get(first) else {
        return 0;
    };
    for part in rest.split('.') {
        let inner = match value.get_ref() {
            DeValue::Table(table) => table.get(part),
            DeValue::Array(array) => part.parse().ok().and_then(|index: usize| array.get(index)),
            _ => None,
        };
        let Some(inner) = inner else { break };
        value = inner;
    }
    value.span().start
}

fn line_of(text: &str, offset: usize) -> usize {
    let before = text.bytes().take(offset);
    before.filter(|byte| *byte == b'\n').count() + 1
}

fn format_faults(path: &Path, faults: &[SettingsFault]) -> String {
    let lines = faults.iter();
    lines
        .map(|fault| format!("{}:{fault}", path.display()))
        .collect::<Vec<_>>()
        .join("\n")
}
