//! Storage of the configuration in the platform's table and object store.
//!
//! A head row holds the latest version. Each commit rewrites it, so no version is assigned twice.
//! The table also holds a row for each recent change, a row for each recent command, and a row
//! with the version of the latest snapshot in the object store.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error, From};
use filbertwheel_core::{
    Change, Clock, CommandId, ConfigError, ConfigLog, Configuration, Delta, Edit, Text, Version,
    message, value,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{ObjectStore, PlatformError, Table, TableRow, TableWrite};

/// Key of the row with the latest version.
const HEAD_KEY: Text = Text::from_static("config/head");
/// Key of the row with the version of the latest snapshot.
const SNAPSHOT_KEY: Text = Text::from_static("config/snapshot");
/// Prefix of the keys of change rows.
const CHANGE_PREFIX: Text = Text::from_static("change/");
/// Number of changes between two snapshots.
pub const SNAPSHOT_INTERVAL: Version = 256;
/// How long a resent command is recognised as a duplicate.
pub const COMMAND_LIFETIME: Duration = Duration::from_secs(60 * 60);
/// Maximum number of changes that one transaction writes again.
const MAX_REWRITTEN_CHANGES: usize = 32;
/// Maximum number of changes that one transaction removes.
const MAX_PRUNED_CHANGES: usize = 64;

/// Versioned store of the configuration.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
}

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The command was committed as this change.
    Committed(Change),
    /// The command was committed earlier, as this version.
    Duplicate(Version),
}

/// Why a command wasn't committed, or may not have been.
#[value]
#[derive(Display, Error, From)]
pub enum CommitError {
    /// The edit is invalid for the current configuration.
    #[display("{_0}")]
    Invalid(ConfigError),
    /// Another command was committed as the next version.
    #[display("another change was committed first, as version {winner}")]
    #[from(skip)]
    Conflict {
        /// Version of the other command.
        winner: Version,
    },
    /// The platform is unreachable. Nothing was written.
    #[display("the platform is unreachable")]
    Unavailable,
    /// The change may have been committed.
    #[display("the change may have been committed")]
    Unknown,
}

/// Head row: the latest version.
#[message]
struct Head {
    version: Version,
}

/// Command row: the version that a command was committed as, and when.
#[message]
struct CommandRow {
    version: Version,
    at_ms: u64,
}

/// Snapshot row: versions of the latest snapshot and of the one before it.
#[message]
#[derive(Copy, Default)]
struct SnapshotRow {
    version: Version,
    previous: Version,
}

impl ConfigStore {
    /// Opens the store in `table` and `objects`.
    pub fn open(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            table,
            objects,
            clock,
        }
    }

    /// Reads what a node at `version` needs to reach the latest version.
    pub async fn load(&self, version: Version) -> Result<Delta, PlatformError> {
        let head = self.head().await?.map_or(0, |(_, head)| head.version);
        self.load_from(head, version).await
    }

    /// Reads what is needed to bring `log` up to date. If the table is behind it, which happens when the
    /// platform was restored from an older copy, the lost changes are written again.
    pub async fn synchronise(&self, log: &ConfigLog) -> Result<Delta, PlatformError> {
        let known = log.current().version;
        let head = self.head().await?;
        let version = head.as_ref().map_or(0, |(_, head)| head.version);
        if version >= known {
            return self.load_from(version, known).await;
        }
        tracing::warn!(
            version,
            known,
            "config: The table is behind, so the lost changes are written again."
        );
        self.write_again(log, head.map(|(row, _)| row), version)
            .await?;
        Ok(Delta::Changes(Vec::new()))
    }

    async fn load_from(&self, head: Version, version: Version) -> Result<Delta, PlatformError> {
        if head <= version {
            return Ok(Delta::Changes(Vec::new()));
        }
        let changes = self.changes(version).await?;
        let reached = changes.last().map_or(version, |change| change.version);
        if reached >= head {
            return Ok(Delta::Changes(changes));
        }
        self.load_snapshot().await.map(Delta::Whole)
    }

    /// Commits an edit as the version after `config`. A command is committed at most once.
    pub async fn commit(
        &self,
        config: &Configuration,
        command: CommandId,
        edit: Edit,
    ) -> Result<CommitOutcome, CommitError> {
        let known = self.find_command(&command).await;
        if let Some(version) = known.map_err(|_| CommitError::Unavailable)? {
            return Ok(CommitOutcome::Duplicate(version));
        }
        config.check(&edit)?;
        let change = Change {
            version: config.version + 1,
            command,
            edit,
        };
        match self.write(&change).await {
            Ok(()) => Ok(CommitOutcome::Committed(change)),
            Err(PlatformError::Unreachable) => Err(CommitError::Unavailable),
            Err(error) => self.resolve(&change, &error).await,
        }
    }

    /// Writes what `log` has beyond `version`, that of the head row, of which `expect` is the version of
    /// the row.
    async fn write_again(
        &self,
        log: &ConfigLog,
        mut expect: Option<u64>,
        version: Version,
    ) -> Result<(), PlatformError> {
        let changes = match log.delta_since(version) {
            Delta::Changes(changes) => changes,
            Delta::Whole(config) => return self.write_whole(&config, expect).await,
        };
        for part in changes.chunks(MAX_REWRITTEN_CHANGES) {
            let last = part.last().map_or(version, |change| change.version);
            let mut writes = vec![put_row(HEAD_KEY, expect, &Head { version: last })?];
            for change in part {
                writes.extend(self.change_rows(change)?);
            }
            self.table.commit(writes).await?;
            expect = Some(self.head().await?.map_or(0, |(row, _)| row));
        }
        Ok(())
    }

    /// Writes a snapshot as the latest version.
    async fn write_whole(
        &self,
        config: &Configuration,
        expect: Option<u64>,
    ) -> Result<(), PlatformError> {
        let row = self.table.read(&SNAPSHOT_KEY).await?;
        self.put_snapshot(config).await?;
        let next = SnapshotRow {
            version: config.version,
            previous: 0,
        };
        let head = Head {
            version: config.version,
        };
        let writes = vec![
            put_row(HEAD_KEY, expect, &head)?,
            put_row(SNAPSHOT_KEY, row.map(|row| row.version), &next)?,
        ];
        self.table.commit(writes).await
    }

    async fn put_snapshot(&self, config: &Configuration) -> Result<(), PlatformError> {
        let document = serde_json::to_vec(config).map_err(|_| PlatformError::Malformed)?;
        let key = snapshot_key(config.version);
        self.objects.put(&key, document.into()).await
    }

    /// Returns the rows of a change and of its command.
    fn change_rows(&self, change: &Change) -> Result<[TableWrite; 2], PlatformError> {
        let row = CommandRow {
            version: change.version,
            at_ms: self.wall_ms(),
        };
        Ok([
            put_row(change_key(change.version), None, change)?,
            put_row(command_key(&change.command), None, &row)?,
        ])
    }

    /// Writes a snapshot if one is due, then removes rows that are no longer needed.
    pub async fn compact(&self, config: &Configuration) -> Result<(), PlatformError> {
        let row = self.table.read(&SNAPSHOT_KEY).await?;
        let latest: SnapshotRow = row.as_ref().map(decode).transpose()?.unwrap_or_default();
        if config.version < latest.version + SNAPSHOT_INTERVAL {
            return Ok(());
        }
        self.put_snapshot(config).await?;
        let next = SnapshotRow {
            version: config.version,
            previous: latest.version,
        };
        let expect = row.map(|row| row.version);
        let write = put_row(SNAPSHOT_KEY, expect, &next)?;
        self.table.commit(vec![write]).await?;
        if latest.previous > 0 {
            self.objects.remove(&snapshot_key(latest.previous)).await?;
        }
        self.prune(config.version).await
    }

    /// Returns the version that a command was committed as, if it was.
    async fn find_command(&self, command: &CommandId) -> Result<Option<Version>, PlatformError> {
        let row = self.table.read(&command_key(command)).await?;
        let row: Option<CommandRow> = row.as_ref().map(decode).transpose()?;
        Ok(row.map(|row| row.version))
    }

    async fn write(&self, change: &Change) -> Result<(), PlatformError> {
        let head = self.head().await.map_err(unreachable)?;
        let (expect, version) = head.map_or((None, 0), |(row, head)| (Some(row), head.version));
        if version + 1 != change.version {
            return Err(PlatformError::Conflict {
                key: HEAD_KEY,
                version: expect,
            });
        }
        let head = Head {
            version: change.version,
        };
        let mut writes = vec![put_row(HEAD_KEY, expect, &head)?];
        writes.extend(self.change_rows(change)?);
        self.table.commit(writes).await
    }

    /// Determines the outcome of a write that failed or whose response was lost.
    async fn resolve(
        &self,
        change: &Change,
        error: &PlatformError,
    ) -> Result<CommitOutcome, CommitError> {
        match self.find_command(&change.command).await {
            Ok(Some(version)) => Ok(CommitOutcome::Duplicate(version)),
            Ok(None) if matches!(error, PlatformError::Conflict { .. }) => {
                Err(CommitError::Conflict {
                    winner: change.version,
                })
            }
            // The write may still take effect.
            _ => Err(CommitError::Unknown),
        }
    }

    async fn head(&self) -> Result<Option<(u64, Head)>, PlatformError> {
        let Some(row) = self.table.read(&HEAD_KEY).await? else {
            return Ok(None);
        };
        Ok(Some((row.version, decode(&row)?)))
    }

    /// Reads the changes after `version`, up to the first gap.
    async fn changes(&self, version: Version) -> Result<Vec<Change>, PlatformError> {
        let mut changes: Vec<Change> = Vec::new();
        loop {
            let reached = changes.last().map_or(version, |change| change.version);
            let rows = self
                .table
                .scan(&CHANGE_PREFIX, &change_key(reached))
                .await?;
            let before = changes.len();
            for row in &rows {
                let change: Change = decode(row)?;
                let last = changes.last().map_or(version, |change| change.version);
                if change.version != last + 1 {
                    return Ok(changes);
                }
                changes.push(change);
            }
            if changes.len() == before {
                return Ok(changes);
            }
        }
    }

    /// Reads the latest snapshot and applies the changes after it.
    async fn load_snapshot(&self) -> Result<Configuration, PlatformError> {
        let row = self.table.read(&SNAPSHOT_KEY).await?;
        let row = row.ok_or(PlatformError::Malformed)?;
        let latest: SnapshotRow = decode(&row)?;
        let object = self.objects.get(&snapshot_key(latest.version)).await?;
        let object = object.ok_or(PlatformError::Malformed)?;
        let mut config: Configuration =
            serde_json::from_slice(&object).map_err(|_| PlatformError::Malformed)?;
        if config.version != latest.version {
            return Err(PlatformError::Malformed);
        }
        for change in self.changes(config.version).await? {
            config
                .apply(&change)
                .map_err(|_| PlatformError::Malformed)?;
        }
        Ok(config)
    }

    /// Removes changes up to a snapshot's version whose commands are past `COMMAND_LIFETIME`.
    async fn prune(&self, snapshot: Version) -> Result<(), PlatformError> {
        loop {
            let rows = self.table.scan(&CHANGE_PREFIX, &Text::default()).await?;
            let mut writes = Vec::new();
            for row in rows.iter().take(MAX_PRUNED_CHANGES) {
                let change: Change = decode(row)?;
                let command = self.table.read(&command_key(&change.command)).await?;
                if change.version > snapshot || !self.is_expired(command.as_ref())? {
                    break;
                }
                writes.push(delete_row(row));
                writes.extend(command.as_ref().map(delete_row));
            }
            if writes.is_empty() {
                return Ok(());
            }
            self.table.commit(writes).await?;
        }
    }

    fn is_expired(&self, row: Option<&TableRow>) -> Result<bool, PlatformError> {
        let row: Option<CommandRow> = row.map(decode).transpose()?;
        let lifetime = COMMAND_LIFETIME.as_millis() as u64;
        Ok(row.is_none_or(|row| self.wall_ms().saturating_sub(row.at_ms) >= lifetime))
    }

    fn wall_ms(&self) -> u64 {
        self.clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64
    }
}

/// Maps a read error to `Unreachable`, since the write wasn't sent yet.
fn unreachable(_: PlatformError) -> PlatformError {
    PlatformError::Unreachable
}

fn put_row(
    key: Text,
    expect: Option<u64>,
    value: &impl Serialize,
) -> Result<TableWrite, PlatformError> {
    let value = serde_json::to_string(value).map_err(|_| PlatformError::Malformed)?;
    Ok(TableWrite {
        key,
        expect,
        value: Some(value.into()),
    })
}

fn delete_row(row: &TableRow) -> TableWrite {
    TableWrite {
        key: row.key.clone(),
        expect: Some(row.version),
        value: None,
    }
}

fn decode<T: DeserializeOwned>(row: &TableRow) -> Result<T, PlatformError> {
    serde_json::from_slice(row.value.as_bytes()).map_err(|_| PlatformError::Malformed)
}

fn change_key(version: Version) -> Text {
    format!("change/{version:012}").into()
}

fn command_key(command: &CommandId) -> Text {
    format!("command/{command}").into()
}

fn snapshot_key(version: Version) -> Text {
    format!("config/{version:012}").into()
}
