//! The configuration in the table: a row for each change.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Change, CommandId, Delta, Edit, Text, Version};
use filbertwheel_operator::{CommandError, Reply};
use filbertwheel_platform::{PlatformError, Row, Table, Write};

use crate::control::Control;

/// Start of the keys of changes.
const CHANGE_PREFIX: Text = Text::from_static("change/");
/// Time between the root's looks at the table.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// How long an operator's command waits for the nodes to confirm it.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(13);
/// Time between looks at the confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// Brings new changes from the table into force, while this node is the root.
pub(crate) async fn watch_changes(control: Rc<RefCell<Control>>) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    loop {
        if control.borrow().is_root()
            && let Err(error) = refresh(&control).await
        {
            tracing::warn!("control: Changes can't be read: {error}.");
        }
        clock.sleep(CHANGE_INTERVAL).await;
    }
}

/// Keeps an operator's edit and waits until it's in force.
pub(crate) async fn commit(
    control: &Rc<RefCell<Control>>,
    command: CommandId,
    edit: Edit,
) -> Result<Reply, CommandError> {
    refresh(control)
        .await
        .map_err(|_| CommandError::Unavailable)?;
    let table = Arc::clone(&control.borrow().parts.table);
    let version = match find(table.as_ref(), &command).await? {
        Some(version) => version,
        None => write(control, table.as_ref(), command, edit).await?,
    };
    refresh(control).await.map_err(|_| CommandError::Unknown)?;
    confirm(control, version).await
}

async fn write(
    control: &Rc<RefCell<Control>>,
    table: &dyn Table,
    command: CommandId,
    edit: Edit,
) -> Result<Version, CommandError> {
    let config = control.borrow().config().clone();
    config.check(&edit).map_err(|error| CommandError::Invalid {
        detail: error.to_string().into(),
    })?;
    let version = config.version + 1;
    let change = Change {
        version,
        command,
        edit,
    };
    let value = serde_json::to_string(&change).map_err(|error| CommandError::Invalid {
        detail: error.to_string().into(),
    })?;
    let write = Write {
        key: key_of(version),
        expect: None,
        value: Some(value.into()),
    };
    match table.commit(vec![write]).await {
        Ok(()) => Ok(version),
        Err(PlatformError::Conflict { .. }) => Err(CommandError::Conflict { winner: version }),
        Err(PlatformError::Unreachable) => Err(CommandError::Unavailable),
        Err(PlatformError::Unknown | PlatformError::Malformed) => Err(CommandError::Unknown),
    }
}

/// The version that a command has made already, when its answer was lost.
async fn find(table: &dyn Table, command: &CommandId) -> Result<Option<Version>, CommandError> {
    let rows = table.scan(&CHANGE_PREFIX, &Text::default()).await;
    let rows = rows.map_err(|_| CommandError::Unavailable)?;
    let mut changes = rows.iter().filter_map(|row| parse(row).ok());
    Ok(changes
        .find(|change| change.command == *command)
        .map(|change| change.version))
}

async fn confirm(control: &Rc<RefCell<Control>>, version: Version) -> Result<Reply, CommandError> {
    let clock = Arc::clone(&control.borrow().parts.clock);
    let until = clock.now() + CONFIRM_TIMEOUT;
    loop {
        if control.borrow().confirmed() >= version {
            return Ok(Reply::Accepted { version });
        }
        if clock.now() >= until {
            let waiting = control.borrow().unconfirmed(version);
            return Ok(Reply::Pending { version, waiting });
        }
        clock.sleep(CONFIRM_INTERVAL).await;
    }
}

async fn refresh(control: &Rc<RefCell<Control>>) -> Result<(), PlatformError> {
    let (table, version) = {
        let control = control.borrow();
        (Arc::clone(&control.parts.table), control.config().version)
    };
    let rows = table.scan(&CHANGE_PREFIX, &key_of(version)).await?;
    let changes: Result<Vec<Change>, PlatformError> = rows.iter().map(parse).collect();
    control.borrow_mut().apply(Delta::Changes(changes?));
    Ok(())
}

fn parse(row: &Row) -> Result<Change, PlatformError> {
    serde_json::from_slice(row.value.as_bytes()).map_err(|_| PlatformError::Malformed)
}

fn key_of(version: Version) -> Text {
    format!("change/{version:012}").into()
}
