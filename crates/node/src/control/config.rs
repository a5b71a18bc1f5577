//! Loading, committing and applying the configuration.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{CommandId, ConfigError, Delta, Edit, Version};
use filbertwheel_operator::{CommandError, Reply};
use filbertwheel_platform::{CommitError, CommitOutcome, ConfigStore, PlatformError};

use crate::control::Control;

/// Interval at which the root polls the table for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time that an operator's command waits for the nodes to confirm its version.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(13);
/// Interval at which a waiting command checks for confirmation.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Loads and applies new changes from the table while this node is the root.
pub(crate) async fn poll_changes(control: Rc<RefCell<Control>>) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    let store = store(&control);
    let mut compacted = 0;
    loop {
        if control.borrow().is_root() {
            poll_once(&control, &store, &mut compacted).await;
        }
        clock.sleep(POLL_INTERVAL).await;
    }
}

/// Commits an operator's edit and waits until all nodes have confirmed it.
pub(crate) async fn commit(
    control: &Rc<RefCell<Control>>,
    command: CommandId,
    edit: Edit,
) -> Result<Reply, CommandError> {
    refresh(control).await?;
    let store = store(control);
    let config = control.borrow().config().clone();
    let version = match store.commit(&config, command, edit).await {
        Ok(CommitOutcome::Committed(change)) => {
            let version = change.version;
            let delta = Delta::Changes(vec![change]);
            control.borrow_mut().apply(delta);
            version
        }
        Ok(CommitOutcome::Duplicate(version)) => version,
        Err(error) => return Err(command_error(error)),
    };
    wait_for_confirmation(control, version).await
}

async fn poll_once(control: &Rc<RefCell<Control>>, store: &ConfigStore, compacted: &mut Version) {
    if let Err(error) = load(control, store).await {
        tracing::warn!("control: Loading configuration changes failed: {error}.");
        return;
    }
    let config = control.borrow().config().clone();
    if config.version == *compacted {
        return;
    }
    match store.compact(&config).await {
        Ok(()) => *compacted = config.version,
        Err(error) => tracing::warn!("control: Compacting the configuration failed: {error}."),
    }
}

async fn wait_for_confirmation(
    control: &Rc<RefCell<Control>>,
    version: Version,
) -> Result<Reply, CommandError> {
    let clock = Arc::clone(&control.borrow().parts.clock);
    let deadline = clock.now() + CONFIRM_TIMEOUT;
    loop {
        if control.borrow().confirmed() >= version {
            return Ok(Reply::Accepted { version });
        }
        if clock.now() >= deadline {
            let waiting = control.borrow().unconfirmed(version);
            return Ok(Reply::Pending { version, waiting });
        }
        clock.sleep(CONFIRM_POLL_INTERVAL).await;
    }
}

/// Loads the latest configuration and applies it.
pub(crate) async fn refresh(control: &Rc<RefCell<Control>>) -> Result<(), CommandError> {
    let loaded = load(control, &store(control)).await;
    loaded.map_err(|_| CommandError::Unavailable)
}

/// Converts the error of an invalid edit to the command's error.
pub(crate) fn invalid_edit(error: ConfigError) -> CommandError {
    CommandError::Invalid {
        detail: error.to_string().into(),
    }
}

async fn load(control: &Rc<RefCell<Control>>, store: &ConfigStore) -> Result<(), PlatformError> {
    let log = control.borrow().config_log().clone();
    let delta = if control.borrow().is_root() {
        store.synchronise(&log).await?
    } else {
        store.load(log.current().version).await?
    };
    control.borrow_mut().apply(delta);
    Ok(())
}

fn store(control: &Rc<RefCell<Control>>) -> ConfigStore {
    let control = control.borrow();
    let parts = &control.parts;
    ConfigStore::open(
        Arc::clone(&parts.table),
        Arc::clone(&parts.objects),
        Arc::clone(&parts.clock),
    )
}

fn command_error(error: CommitError) -> CommandError {
    match error {
        CommitError::Invalid(error) => invalid_edit(error),
        CommitError::Conflict { winner } => CommandError::Conflict { winner },
        CommitError::Unavailable => CommandError::Unavailable,
        CommitError::Unknown => CommandError::Unknown,
    }
}
