//! Follows the rules that operators write to the store.

use std::sync::Arc;

use super::Shared;
use super::feed::{Feed, Update};

/// Follows the rules without end.
pub(crate) async fn watch_rules(control: Shared) {
    let (mut feed, location) = {
        let control = control.borrow();
        let parts = &control.parts;
        let store = Arc::clone(&parts.dependencies.store);
        let location = parts.dependencies.rules;
        (
            Feed::open(store, Arc::clone(&parts.clock), location.table),
            location,
        )
    };
    loop {
        let documents: Vec<_> = match feed.next().await {
            Ok(Update::Listed(rows)) => rows.into_iter().map(|row| (row.key, row.value)).collect(),
            Ok(Update::Changed(changes)) => changes
                .into_iter()
                .filter_map(|(key, row)| Some((key, row?.value)))
                .collect(),
            Err(error) => {
                tracing::warn!("control: The rules can't be read: {error}.");
                feed.back_off().await;
                continue;
            }
        };
        for (key, document) in documents {
            if key.as_bytes() == location.key.as_bytes() {
                control.borrow_mut().apply_rules(document);
            }
        }
    }
}
