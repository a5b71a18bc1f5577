//! Differences between two versions of the operators' rules, in operators' words.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Display, Formatter};

use filbertwheel_core::{
    OrganisationId, OrganisationPolicy, Rate, RouteRule, Rules, ServicePolicy, Target, Text, value,
};

/// A difference between two versions of the rules.
#[value]
pub struct RulesDifference {
    /// Kind of the entry, such as `route`.
    pub kind: &'static str,
    /// Name of the entry.
    pub name: Text,
    /// What is different.
    pub change: EntryChange,
}

/// What is different in an entry.
#[value]
pub enum EntryChange {
    /// The entry is new.
    Added,
    /// The entry is gone.
    Removed,
    /// A field has another value.
    Field {
        /// Name of the field.
        field: &'static str,
        /// Value in the earlier version.
        before: String,
        /// Value in the later version.
        after: String,
    },
    /// The organisation has other keys.
    Keys {
        /// Number of new keys.
        added: usize,
        /// Number of withdrawn keys.
        withdrawn: usize,
    },
}

impl Display for RulesDifference {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}: ", self.kind, self.name)?;
        match &self.change {
            EntryChange::Added => f.write_str("added"),
            EntryChange::Removed => f.write_str("removed"),
            EntryChange::Field {
                field,
                before,
                after,
            } => write!(f, "{field} is {after}, was {before}"),
            EntryChange::Keys { added, withdrawn } => {
                write!(f, "{added} keys added, {withdrawn} withdrawn")
            }
        }
    }
}

/// Lists the differences between two versions of the rules, by kind and name.
pub fn rules_differences(before: &Rules, after: &Rules) -> Vec<RulesDifference> {
    let mut found = Vec::new();
    let (earlier, later) = (routes(before), routes(after));
    compare("route", &earlier, &later, route_fields, &mut found);
    let (earlier, later) = (by_name(&before.services), by_name(&after.services));
    compare("service", &earlier, &later, service_fields, &mut found);
    let (earlier, later) = (
        by_name(&before.organisations),
        by_name(&after.organisations),
    );
    let fields = organisation_fields;
    compare("organisation", &earlier, &later, fields, &mut found);
    compare_keys(before, after, &mut found);
    if before.limits != after.limits {
        found.push(RulesDifference {
            kind: "limits",
            name: "of requests".into(),
            change: field("size and time", &before.limits, &after.limits),
        });
    }
    found
}

type Named<'a, T> = BTreeMap<&'a Text, &'a T>;

fn by_name<T>(entries: &BTreeMap<Text, T>) -> Named<'_, T> {
    entries.iter().collect()
}

fn routes(rules: &Rules) -> Named<'_, RouteRule> {
    let routes = rules.all_routes();
    routes.map(|rule| (&rule.id, rule.as_ref())).collect()
}

fn compare<T>(
    kind: &'static str,
    before: &Named<'_, T>,
    after: &Named<'_, T>,
    fields: impl Fn(&T, &T) -> Vec<EntryChange>,
    found: &mut Vec<RulesDifference>,
) {
    let names: BTreeSet<&Text> = before.keys().chain(after.keys()).copied().collect();
    for name in names {
        let changes = match (before.get(name), after.get(name)) {
            (Some(before), Some(after)) => fields(before, after),
            (None, _) => vec![EntryChange::Added],
            (_, None) => vec![EntryChange::Removed],
        };
        found.extend(changes.into_iter().map(|change| RulesDifference {
            kind,
            name: name.clone(),
            change,
        }));
    }
}

fn route_fields(before: &RouteRule, after: &RouteRule) -> Vec<EntryChange> {
    let changes = [
        changed("host", &before.host, &after.host),
        changed("prefix", &before.prefix, &after.prefix),
        changed("services", &split(&before.targets), &split(&after.targets)),
        changed("idempotent", &before.idempotent, &after.idempotent),
        changed("open to all", &before.open, &after.open),
        changed("priority", &before.priority, &after.priority),
        changed("timeout", &before.timeout, &after.timeout),
        changed("latency objective", &before.objective, &after.objective),
        changed("attempts", &before.max_attempts, &after.max_attempts),
        changed("home regions", &before.homes, &after.homes),
    ];
    changes.into_iter().flatten().collect()
}

fn service_fields(before: &ServicePolicy, after: &ServicePolicy) -> Vec<EntryChange> {
    let change = changed("warm-up", &before.warmup, &after.warmup);
    change.into_iter().collect()
}

fn organisation_fields(
    before: &OrganisationPolicy,
    after: &OrganisationPolicy,
) -> Vec<EntryChange> {
    let changes = [
        changed("rate limit", &limit(before.limit), &limit(after.limit)),
        changed("priority", &before.priority, &after.priority),
        changed("home regions", &before.homes, &after.homes),
    ];
    changes.into_iter().flatten().collect()
}

fn compare_keys(before: &Rules, after: &Rules, found: &mut Vec<RulesDifference>) {
    let (earlier, later) = (keys(before), keys(after));
    let organisations: BTreeSet<&OrganisationId> =
        earlier.keys().chain(later.keys()).copied().collect();
    let none = BTreeSet::new();
    for name in organisations {
        let earlier = earlier.get(name).unwrap_or(&none);
        let later = later.get(name).unwrap_or(&none);
        if earlier != later {
            found.push(RulesDifference {
                kind: "organisation",
                name: name.clone(),
                change: EntryChange::Keys {
                    added: later.difference(earlier).count(),
                    withdrawn: earlier.difference(later).count(),
                },
            });
        }
    }
}

fn keys(rules: &Rules) -> BTreeMap<&OrganisationId, BTreeSet<&Text>> {
    let mut keys: BTreeMap<&OrganisationId, BTreeSet<&Text>> = BTreeMap::new();
    for (key, organisation) in &rules.keys {
        keys.entry(organisation).or_default().insert(key);
    }
    keys
}

fn changed<T: PartialEq + Debug>(name: &'static str, before: &T, after: &T) -> Option<EntryChange> {
    (before != after).then(|| field(name, before, after))
}

fn field<T: Debug>(field: &'static str, before: &T, after: &T) -> EntryChange {
    EntryChange::Field {
        field,
        before: format!("{before:?}"),
        after: format!("{after:?}"),
    }
}

fn split(targets: &[Target]) -> Vec<String> {
    let targets = targets.iter();
    targets
        .map(|target| format!("{} {}", target.service, target.weight))
        .collect()
}

fn limit(limit: Option<Rate>) -> String {
    match limit {
        Some(limit) => format!("{} per second, burst {}", limit.rate, limit.burst),
        None => "none".to_owned(),
    }
}
