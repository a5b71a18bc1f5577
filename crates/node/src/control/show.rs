//! Replies to operators' queries.

use std::collections::BTreeMap;

use filbertwheel_core::{Member, ServiceId, Status, Text};
use filbertwheel_operator::{CommandError, Query, Reply, View};

use crate::control::Control;
use crate::metrics::Metrics;

/// Rows of a table.
type Rows = Vec<Vec<Text>>;

/// Answers a query from the control state.
pub(super) fn show(control: &Control, query: &Query) -> Result<Reply, CommandError> {
    let rows = match query.view {
        View::Organisations => organisations(control),
        View::Keys => keys(control),
        View::Routes => routes(control),
        View::Services => services(control),
        View::Members => control.roster().members().map(member).collect(),
        View::Shares => shares(control),
        View::Versions => versions(control)?,
        View::Status => vec![status(control)],
        // `refusals` answers this query from the metrics.
        View::Refusals => Vec::new(),
    };
    Ok(table(query, rows))
}

/// Returns the numbers of refused requests and of unknown outcomes, by reason.
pub(super) fn refusals(metrics: &Metrics, query: &Query) -> Reply {
    let failures = metrics.failures().into_iter();
    let rows = failures.map(|(labels, count)| {
        vec![
            labels.service.into(),
            labels.organisation.into(),
            labels.outcome.into(),
            labels.reason.into(),
            text(count),
        ]
    });
    table(query, rows.collect())
}

fn table(query: &Query, rows: Rows) -> Reply {
    let columns = query.view.columns().iter().copied();
    Reply::Rows {
        columns: columns.map(Text::from_static).collect(),
        rows: query.apply(rows),
    }
}

fn organisations(control: &Control) -> Rows {
    let config = control.config();
    let keys = |name: &Text| {
        let keys = config.keys.values();
        keys.filter(|key| key.organisation == *name).count()
    };
    let organisations = config.organisations.iter();
    organisations
        .map(|(name, one)| {
            vec![
                name.clone(),
                text(one.limit.rate),
                text(one.limit.burst),
                text(keys(name)),
            ]
        })
        .collect()
}

fn keys(control: &Control) -> Rows {
    let keys = control.config().keys.iter();
    keys.map(|(hash, key)| vec![hash.clone(), key.organisation.clone()])
        .collect()
}

fn routes(control: &Control) -> Rows {
    let routes = control.config().routes.iter();
    routes
        .map(|(name, route)| {
            vec![
                name.clone(),
                route.service.clone(),
                route.method.clone().unwrap_or_default(),
                route.prefix.clone(),
                serialized_name(route.criticality),
                text(route.idempotent),
                text(route.open),
            ]
        })
        .collect()
}

fn services(control: &Control) -> Rows {
    let mut services: BTreeMap<&ServiceId, Vec<&Member>> = BTreeMap::new();
    for member in control.roster().members() {
        if let Some(service) = &member.service {
            services.entry(service).or_default().push(member);
        }
    }
    let count = |members: &[&Member], status| {
        let members = members.iter();
        text(members.filter(|member| member.status == status).count())
    };
    let row = |(service, members): (&ServiceId, Vec<&Member>)| {
        let serving = members.iter().filter(|one| one.status == Status::Serving);
        let slots: u32 = serving.map(|one| one.slots).sum();
        vec![
            service.clone(),
            count(&members, Status::Serving),
            count(&members, Status::Joining),
            count(&members, Status::Draining),
            count(&members, Status::Gone),
            text(slots),
        ]
    };
    services.into_iter().map(row).collect()
}

fn member(member: &Member) -> Vec<Text> {
    vec![
        member.vm.clone(),
        member.region.clone(),
        member.domain.clone(),
        member.service.clone().unwrap_or_default(),
        serialized_name(member.status),
        text(member.slots),
        text(member.address),
    ]
}

fn shares(control: &Control) -> Rows {
    let portions = control.buckets().portions().into_iter();
    let row = |(organisation, portion, demand)| {
        vec![organisation, text(portion), format!("{demand:.2}").into()]
    };
    portions.map(row).collect()
}

fn versions(control: &Control) -> Result<Rows, CommandError> {
    let Some(versions) = control.versions() else {
        return Err(CommandError::NotRoot {
            root: root_of(control),
        });
    };
    let rows = versions.into_iter();
    Ok(rows.map(|(vm, version)| vec![vm, text(version)]).collect())
}

fn status(control: &Control) -> Vec<Text> {
    let root = if control.is_root() {
        control.local_member().vm.clone()
    } else {
        root_of(control)
    };
    vec![
        control.local_member().vm.clone(),
        root,
        text(control.fence()),
        text(control.config().version),
        text(control.confirmed()),
        text(!control.needs_parent(control.parts.clock.now())),
    ]
}

/// Returns the VM of the node's parent, which is reported as the root; empty if unknown.
fn root_of(control: &Control) -> Text {
    let root = control.parent();
    let mut members = control.roster().members();
    members
        .find(|member| Some(member.address) == root)
        .map(|member| member.vm.clone())
        .unwrap_or_default()
}

fn serialized_name(value: impl serde::Serialize) -> Text {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().into()
}

fn text(value: impl ToString) -> Text {
    value.to_string().into()
}
