//! Follows the rules that operators write to the store.

use std::sync::Arc;

use super::Shared;
use super::feed::{Feed, Look};

/// Follows the rules for as long as it's polled.
pub(crate) async fn watch_rules(control: Shared) {
    let (mut feed, place) = {
        let control = control.borrow();
        let parts = &control.parts;
        let store = Arc::clone(&parts.sources.store);
        let place = parts.sources.rules;
        (
            Feed::open(store, Arc::clone(&parts.clock), place.table),
            place,
        )
    };
    loop {
        let documents: Vec<_> = match feed.next().await {
            Ok(Look::Listed(rows)) => rows.into_iter().map(|row| (row.key, row.value)).collect(),
            Ok(Look::Changed(changes)) => changes
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
            if key.as_bytes() == place.key.as_bytes() {
                control.borrow_mut().take_rules(document);
            }
        }
    }
}
