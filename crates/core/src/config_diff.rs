//! Differences between two versions of the configuration.

use std::collections::{BTreeMap, BTreeSet};

use filbertwheel_macros::value;
use serde::Serialize;

use crate::{Configuration, Text};

/// A difference in one entry of the configuration.
#[value]
pub struct Difference {
    /// Kind of the entry, such as `organisation`.
    pub kind: &'static str,
    /// Name of the entry.
    pub name: Text,
    /// Previous value as JSON; `None` if the entry is added.
    pub before: Option<Text>,
    /// New value as JSON; `None` if the entry is removed.
    pub after: Option<Text>,
}

impl Configuration {
    /// Lists the differences between this version and `next`, grouped by kind and sorted by name.
    pub fn differences(&self, next: &Self) -> Vec<Difference> {
        let mut found = Vec::new();
        let organisations = (&self.organisations, &next.organisations);
        compare("organisation", organisations, &mut found);
        compare("key", (&self.keys, &next.keys), &mut found);
        compare("route", (&self.routes, &next.routes), &mut found);
        compare("drain", (&self.drains, &next.drains), &mut found);
        found
    }
}

fn compare<T: PartialEq + Serialize>(
    kind: &'static str,
    (before, after): (&BTreeMap<Text, T>, &BTreeMap<Text, T>),
    found: &mut Vec<Difference>,
) {
    let names: BTreeSet<&Text> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (before, after) = (before.get(name), after.get(name));
        if before != after {
            found.push(Difference {
                kind,
                name: name.clone(),
                before: before.map(to_json),
                after: after.map(to_json),
            });
        }
    }
}

fn to_json(value: &impl Serialize) -> Text {
    serde_json::to_string(value).unwrap_or_default().into()
}
