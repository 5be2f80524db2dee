//! The differences of one route.

use super::text::{homes_text, milliseconds, target_text};
use super::{ChangeDetail, ChangedField, push_field};
use camphorway_model::{RequestRoute, RouteTarget, ServiceName};
use std::collections::HashSet;
use std::fmt::Display;

pub(super) fn route_details(before: &RequestRoute, after: &RequestRoute) -> Vec<ChangeDetail> {
    let mut details = Vec::new();
    let mut push = |field, before: &dyn Display, after: &dyn Display| {
        push_field(&mut details, field, &before.to_string(), &after.to_string());
    };
    push(ChangedField::Host, &before.host, &after.host);
    push(
        ChangedField::Prefix,
        &before.path_prefix,
        &after.path_prefix,
    );
    push(
        ChangedField::Repeatable,
        &before.idempotent,
        &after.idempotent,
    );
    let times = [
        (ChangedField::TimeLimit, before.time_limit, after.time_limit),
        (ChangedField::Objective, before.objective, after.objective),
    ];
    for (field, before, after) in times {
        push(field, &milliseconds(before), &milliseconds(after));
    }
    push(ChangedField::Attempts, &before.attempts, &after.attempts);
    push(ChangedField::Priority, &before.priority, &after.priority);
    push(
        ChangedField::Anonymous,
        &before.allows_anonymous,
        &after.allows_anonymous,
    );
    push(
        ChangedField::Homes,
        &homes_text(&before.homes),
        &homes_text(&after.homes),
    );
    push_target(&mut details, &before.target, &after.target);
    if !details.is_empty() {
        let requests = format!("{}{}", before.host, before.path_prefix);
        details.push(ChangeDetail::Requests(requests));
    }
    details
}

fn push_target(details: &mut Vec<ChangeDetail>, before: &RouteTarget, after: &RouteTarget) {
    let (RouteTarget::Gather(before), RouteTarget::Gather(after)) = (before, after) else {
        let (before, after) = (target_text(before), target_text(after));
        push_field(details, ChangedField::Target, &before, &after);
        return;
    };
    let shards: [HashSet<&ServiceName>; 2] =
        [before, after].map(|rule| rule.shards.iter().collect());
    let added = shards[1].difference(&shards[0]).count();
    let removed = shards[0].difference(&shards[1]).count();
    if added + removed > 0 {
        details.push(ChangeDetail::Shards { added, removed });
    }
    push_field(
        details,
        ChangedField::TopRecords,
        &before.top_records,
        &after.top_records,
    );
    push_field(
        details,
        ChangedField::MinShare,
        &before.min_share,
        &after.min_share,
    );
}
