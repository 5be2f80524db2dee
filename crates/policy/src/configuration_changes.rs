//! What one configuration of fronts changes against another, and for whose requests.
//!
//! Keys are counted, never named.

mod change;
mod route;
mod text;

pub use change::{ChangeDetail, ChangeKind, ChangedEntry, ChangedField, ConfigurationChange};

use camphorway_model::{
    ConfigurationDraft, DraftWorkspace, KeyDigest, RequestRoute, RouteTable, RouteTarget,
    RoutedService, ServiceName,
};
use route::route_details;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Display;
use text::{homes_text, milliseconds, priority_text, quota_text, warm_up_text};

/// Returns the entries in which `after` differs from `before`.
pub fn changes_between(
    before: &ConfigurationDraft,
    after: &ConfigurationDraft,
) -> Vec<ConfigurationChange> {
    let mut changes = Vec::from_iter(limits_change(before, after));
    changes.extend(route_changes(before, after));
    changes.extend(service_changes(before, after));
    changes.extend(workspace_changes(before, after));
    if !changes.is_empty() || before.version != after.version {
        changes.splice(0..0, version_change(before, after));
    }
    changes
}

fn version_change(
    before: &ConfigurationDraft,
    after: &ConfigurationDraft,
) -> Option<ConfigurationChange> {
    let mut details = Vec::new();
    push_field(
        &mut details,
        ChangedField::Version,
        &before.version,
        &after.version,
    );
    if after.version <= before.version {
        details.push(ChangeDetail::VersionNotNewer);
    }
    changed(ChangedEntry::Version, details)
}

fn limits_change(
    before: &ConfigurationDraft,
    after: &ConfigurationDraft,
) -> Option<ConfigurationChange> {
    let (before, after) = (&before.limits, &after.limits);
    let mut details = Vec::new();
    let sizes = [
        (
            ChangedField::HeaderBytes,
            before.max_header_bytes,
            after.max_header_bytes,
        ),
        (
            ChangedField::BodyBytes,
            before.max_body_bytes,
            after.max_body_bytes,
        ),
    ];
    for (field, before, after) in sizes {
        push_field(&mut details, field, &before, &after);
    }
    let times = [
        (
            ChangedField::HeaderTimeout,
            before.header_timeout,
            after.header_timeout,
        ),
        (
            ChangedField::IdleTimeout,
            before.idle_timeout,
            after.idle_timeout,
        ),
    ];
    for (field, before, after) in times {
        push_field(
            &mut details,
            field,
            &milliseconds(before),
            &milliseconds(after),
        );
    }
    changed(ChangedEntry::Limits, details)
}

fn route_changes(
    before: &ConfigurationDraft,
    after: &ConfigurationDraft,
) -> Vec<ConfigurationChange> {
    let (table_before, table_after) = (route_table(before), route_table(after));
    let by_name = |route: &RequestRoute| (route.name.clone(), route.clone());
    compare(
        before.routes.iter().map(by_name),
        after.routes.iter().map(by_name),
        ChangedEntry::Route,
        |change, route| {
            let other = match change {
                ChangeKind::Added => &table_before,
                ChangeKind::Removed | ChangeKind::Changed => &table_after,
            };
            let taken = other.find(&route.host, &route.path_prefix);
            vec![
                ChangeDetail::Requests(format!("{}{}", route.host, route.path_prefix)),
                ChangeDetail::Elsewhere(taken.map(|route| route.name.clone())),
            ]
        },
        route_details,
    )
}

fn service_changes(
    before: &ConfigurationDraft,
    after: &ConfigurationDraft,
) -> Vec<ConfigurationChange> {
    let routes_of = |service: &ServiceName| {
        let routes = before.routes.iter().chain(&after.routes);
        let names = routes.filter(|route| names_service(route, service));
        let names: HashSet<&str> = names.map(|route| route.name.as_str()).collect();
        ChangeDetail::UsedBy(names.len())
    };
    let by_name =
        |(name, service): &(ServiceName, RoutedService)| (name.clone(), (name.clone(), *service));
    compare(
        before.services.iter().map(by_name),
        after.services.iter().map(by_name),
        ChangedEntry::Service,
        |_, (name, _)| vec![routes_of(name)],
        |(name, before), (_, after)| {
            let mut details = Vec::new();
            let connections = (&before.max_connections, &after.max_connections);
            push_field(
                &mut details,
                ChangedField::Connections,
                connections.0,
                connections.1,
            );
            let limits = (warm_up_text(before), warm_up_text(after));
            push_field(&mut details, ChangedField::WarmUp, &limits.0, &limits.1);
            if !details.is_empty() {
                details.push(routes_of(name));
            }
            details
        },
    )
}

fn workspace_changes(
    before: &ConfigurationDraft,
    after: &ConfigurationDraft,
) -> Vec<ConfigurationChange> {
    let by_name = |entry: &DraftWorkspace| (entry.workspace.name.clone(), entry.clone());
    compare(
        before.workspaces.iter().map(by_name),
        after.workspaces.iter().map(by_name),
        ChangedEntry::Workspace,
        |change, entry| {
            let keys = entry.keys.len();
            vec![match change {
                ChangeKind::Removed => ChangeDetail::Keys {
                    added: 0,
                    removed: keys,
                },
                ChangeKind::Added | ChangeKind::Changed => ChangeDetail::Keys {
                    added: keys,
                    removed: 0,
                },
            }]
        },
        workspace_details,
    )
}

/// Compares entries by name. `whole` describes one that is only in one configuration,
/// `details` one that is in both.
fn compare<Name, Entry, Entries, Title, Whole, Details>(
    before: Entries,
    after: Entries,
    title: Title,
    whole: Whole,
    details: Details,
) -> Vec<ConfigurationChange>
where
    Name: Clone + Ord,
    Entries: Iterator<Item = (Name, Entry)>,
    Title: Fn(Name) -> ChangedEntry,
    Whole: Fn(ChangeKind, &Entry) -> Vec<ChangeDetail>,
    Details: Fn(&Entry, &Entry) -> Vec<ChangeDetail>,
{
    let before: BTreeMap<Name, Entry> = before.collect();
    let after: BTreeMap<Name, Entry> = after.collect();
    let mut changes = Vec::new();
    for (name, entry) in &after {
        match before.get(name) {
            Some(earlier) => {
                changes.extend(changed(title(name.clone()), details(earlier, entry)));
            }
            None => changes.push(ConfigurationChange {
                entry: title(name.clone()),
                kind: ChangeKind::Added,
                details: whole(ChangeKind::Added, entry),
            }),
        }
    }
    let removed = before.iter().filter(|(name, _)| !after.contains_key(name));
    changes.extend(removed.map(|(name, entry)| ConfigurationChange {
        entry: title(name.clone()),
        kind: ChangeKind::Removed,
        details: whole(ChangeKind::Removed, entry),
    }));
    changes
}

/// The change of an entry that is in both configurations, if it has any.
fn changed(entry: ChangedEntry, details: Vec<ChangeDetail>) -> Option<ConfigurationChange> {
    (!details.is_empty()).then_some(ConfigurationChange {
        entry,
        kind: ChangeKind::Changed,
        details,
    })
}

fn workspace_details(before: &DraftWorkspace, after: &DraftWorkspace) -> Vec<ChangeDetail> {
    let mut details = Vec::new();
    let keys: [HashSet<&KeyDigest>; 2] = [before, after].map(|entry| entry.keys.iter().collect());
    let added = keys[1].difference(&keys[0]).count();
    let removed = keys[0].difference(&keys[1]).count();
    if added + removed > 0 {
        details.push(ChangeDetail::Keys { added, removed });
    }
    let (before, after) = (&before.workspace, &after.workspace);
    let quotas = [before, after].map(|workspace| quota_text(workspace.quota));
    push_field(&mut details, ChangedField::Quota, &quotas[0], &quotas[1]);
    let priorities = [before, after].map(|workspace| priority_text(workspace.priority));
    push_field(
        &mut details,
        ChangedField::Priority,
        &priorities[0],
        &priorities[1],
    );
    let homes = [before, after].map(|workspace| homes_text(&workspace.homes));
    push_field(&mut details, ChangedField::Homes, &homes[0], &homes[1]);
    details
}

/// Adds a field whose value differs.
fn push_field<Value>(
    details: &mut Vec<ChangeDetail>,
    field: ChangedField,
    before: &Value,
    after: &Value,
) where
    Value: Display + PartialEq,
{
    if before != after {
        details.push(ChangeDetail::Field {
            field,
            before: before.to_string(),
            after: after.to_string(),
        });
    }
}

fn route_table(draft: &ConfigurationDraft) -> RouteTable {
    let (version, limits) = (draft.version, draft.limits);
    RouteTable::new(version, draft.routes.clone(), HashMap::new(), limits)
}

fn names_service(route: &RequestRoute, service: &ServiceName) -> bool {
    match &route.target {
        RouteTarget::Service(name) => name == service,
        RouteTarget::Split(parts) => parts.iter().any(|part| part.service == *service),
        RouteTarget::Gather(rule) => rule.shards.contains(service),
    }
}
