//! The entry's limits follow the reported waits and are fair between kinds, and
//! lower ranks yield to one that is refused beyond its bound.

use camphorway_model::{FailureDomain, GroupId, PerRank, RequestRank, ServiceName};
use camphorway_policy::{
    AdmissionDecision, AdmissionRequest, EntryAdmission, KindHash, WaitReport,
};
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(10);

fn group() -> GroupId {
    GroupId {
        service: ServiceName::new("portal"),
        domain: FailureDomain::new("d"),
        index: 0,
    }
}

fn request(service: &ServiceName, rank: RequestRank, kind: u64) -> AdmissionRequest<'_> {
    AdmissionRequest {
        service,
        rank,
        kind: KindHash(kind),
        time_left: Duration::from_millis(100),
        coverage_target: 0.99,
    }
}

fn report(admission: &mut EntryAdmission, wait: Duration, now: Instant) {
    let report = WaitReport {
        waits: PerRank([wait; 3]),
        service_time: SERVICE_TIME,
    };
    admission.report(&group(), report, now);
}

fn is_admitted(
    admission: &mut EntryAdmission,
    request: &AdmissionRequest<'_>,
    now: Instant,
) -> bool {
    let group = group();
    let decision = admission.decide(request, std::iter::once((&group, 1.0)), now);
    decision == AdmissionDecision::Admit
}

#[test]
fn wait_beyond_the_deadline_refuses_until_the_report_expires() {
    let now = Instant::now();
    let service = ServiceName::new("portal");
    let mut admission = EntryAdmission::default();
    report(&mut admission, Duration::from_millis(150), now);
    let request = request(&service, RequestRank::Normal, 1);
    let group = group();
    let decision = admission.decide(&request, std::iter::once((&group, 1.0)), now);
    let retry_after = Duration::from_millis(50);
    assert_eq!(decision, AdmissionDecision::Refuse { retry_after });
    assert!(is_admitted(
        &mut admission,
        &request,
        now + Duration::from_secs(1)
    ));
}

#[test]
fn long_waits_cut_the_limit_and_short_ones_raise_it() {
    let mut now = Instant::now();
    let service = ServiceName::new("portal");
    let mut admission = EntryAdmission::default();
    let request = request(&service, RequestRank::Urgent, 1);
    let first = admission.in_flight(&service, RequestRank::Urgent).0;
    report(&mut admission, SERVICE_TIME * 2, now);
    for _ in 0..5 {
        now += Duration::from_millis(60);
        assert!(is_admitted(&mut admission, &request, now));
        admission.finish(&request, false, std::iter::once(&group()), now);
    }
    let cut = admission.in_flight(&service, RequestRank::Urgent).0;
    assert!(cut < first / 2.0, "{cut} of {first}");
    report(&mut admission, Duration::ZERO, now);
    for _ in 0..100 {
        while is_admitted(&mut admission, &request, now) {}
        admission.finish(&request, false, std::iter::once(&group()), now);
    }
    assert!(admission.in_flight(&service, RequestRank::Urgent).0 > cut);
}

#[test]
fn wait_that_is_short_against_the_deadline_refuses_nobody() {
    let mut now = Instant::now();
    let service = ServiceName::new("portal");
    let mut admission = EntryAdmission::default();
    let mut request = request(&service, RequestRank::Normal, 1);
    request.time_left = Duration::from_secs(2);
    report(&mut admission, SERVICE_TIME * 4, now);
    for _ in 0..50 {
        now += Duration::from_millis(60);
        for _ in 0..5 {
            assert!(is_admitted(&mut admission, &request, now));
        }
        for _ in 0..5 {
            admission.finish(&request, false, std::iter::once(&group()), now);
        }
    }
}

#[test]
fn flooding_kind_leaves_capacity_for_another() {
    let now = Instant::now();
    let service = ServiceName::new("portal");
    let mut admission = EntryAdmission::default();
    let flooding = request(&service, RequestRank::Bulk, 1);
    while is_admitted(&mut admission, &flooding, now) {}
    let other = request(&service, RequestRank::Bulk, 2);
    assert!(is_admitted(&mut admission, &other, now));
    assert!(!is_admitted(&mut admission, &flooding, now));
}

#[test]
fn lower_ranks_yield_to_one_refused_beyond_its_bound() {
    let mut now = Instant::now();
    let service = ServiceName::new("portal");
    let mut admission = EntryAdmission::default();
    admission.set_max_refused(PerRank([0.01, 1.0, 1.0]));
    let urgent = request(&service, RequestRank::Urgent, 1);
    for _ in 0..100 {
        is_admitted(&mut admission, &urgent, now);
    }
    now += Duration::from_secs(6);
    let bulk = request(&service, RequestRank::Bulk, 2);
    assert!(!is_admitted(&mut admission, &bulk, now));
    now += Duration::from_secs(6);
    assert!(is_admitted(&mut admission, &bulk, now));
}
