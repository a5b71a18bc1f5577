//! Settings files in TOML, checked before anything starts.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file isn't valid TOML, or a key is unknown, missing or of the wrong type.
    #[display("{}:{line}: {detail}", path.display())]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Line of the fault, counted from 1.
        line: usize,
        /// What was found and what was expected.
        detail: String,
    },
    /// Values are out of their range.
    #[display("{}: {}", path.display(), faults.join("; "))]
    Range {
        /// Path of the file.
        path: PathBuf,
        /// All the faults that were found.
        #[error(not(source))]
        faults: Vec<String>,
    },
}

/// Reads settings of type `T` and checks them with `check`, which lists every fault.
pub fn load_settings<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<String>,
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    let settings = toml::from_str(&text).map_err(|error| SettingsError::Parse {
        path: path.to_owned(),
        line: line_of(&text, error.span().map_or(0, |span| span.start)),
        detail: error.message().to_owned(),
    })?;
    let faults = check(&settings);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError::Range {
            path: path.to_owned(),
            faults,
        })
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes()
        .take(offset)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}
