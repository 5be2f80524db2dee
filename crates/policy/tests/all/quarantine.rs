//! Crashing content is quarantined, harmless content is not, and the order in
//! which daemons receive crash reports doesn't matter.

use camphorway_model::{CanaryMode, ServerName, VmName};
use camphorway_policy::{
    ContentHash, ContentVerdict, CrashReport, QuarantineNotice, QuarantineTable, RetryTurn,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const CONTENT: ContentHash = ContentHash(1);

fn crash(number: u64, server: &str, alone: bool) -> CrashReport {
    CrashReport {
        content: CONTENT,
        server: ServerName::new(server),
        crash: number,
        alone,
        age_ms: 0,
    }
}

fn verdict(table: &mut QuarantineTable, now: Instant) -> ContentVerdict {
    table.verdict(CONTENT, CanaryMode::Suspects, now)
}

#[test]
fn second_crash_on_another_server_quarantines_for_a_time() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    assert_eq!(verdict(&mut table, now), ContentVerdict::Unrestricted);
    table.record_crash(&crash(1, "a", false), now);
    assert_eq!(verdict(&mut table, now), ContentVerdict::SuspectAlone);
    table.record_crash(&crash(2, "b", true), now);
    assert!(matches!(
        verdict(&mut table, now),
        ContentVerdict::Quarantined(_)
    ));
    let later = now + Duration::from_secs(31);
    assert_eq!(verdict(&mut table, later), ContentVerdict::SuspectAlone);
}

/// Content whose quarantine had ended crashed two servers again before the next one.
#[test]
fn one_more_crash_after_a_quarantine_starts_a_longer_one() {
    let mut now = Instant::now();
    let mut table = QuarantineTable::default();
    table.record_crash(&crash(1, "a", true), now);
    table.record_crash(&crash(2, "b", true), now);
    for round in 0..6_u32 {
        let lasts = Duration::from_secs(30) * 2_u32.pow(round);
        let lasts = lasts.min(Duration::from_secs(600));
        assert_eq!(
            verdict(&mut table, now),
            ContentVerdict::Quarantined(lasts),
            "round {round}"
        );
        now += lasts;
        assert_eq!(verdict(&mut table, now), ContentVerdict::SuspectAlone);
        now += Duration::from_secs(5);
        table.record_crash(&crash(3 + u64::from(round), "c", true), now);
    }
}

/// A call that began before the quarantine may answer during it.
#[test]
fn a_success_clears_also_during_a_quarantine() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.record_crash(&crash(1, "a", true), now);
    table.record_crash(&crash(2, "b", true), now);
    assert!(matches!(
        verdict(&mut table, now),
        ContentVerdict::Quarantined(_)
    ));
    let later = now + Duration::from_millis(30);
    table.record_success(CONTENT, later);
    assert_eq!(verdict(&mut table, later), ContentVerdict::Unrestricted);
    table.record_quarantine(CONTENT, later);
    assert_eq!(verdict(&mut table, later), ContentVerdict::Unrestricted);
}

/// The list of quarantined content is read again after a lost history.
#[test]
fn a_repeated_report_of_a_quarantine_does_not_extend_it() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.record_quarantine(CONTENT, now);
    let later = now + Duration::from_secs(31);
    table.record_quarantine(CONTENT, later);
    assert_eq!(verdict(&mut table, later), ContentVerdict::SuspectAlone);
}

#[test]
fn content_beside_others_in_two_crashes_stays_suspect_until_it_succeeds() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.record_crash(&crash(1, "a", false), now);
    table.record_crash(&crash(2, "b", false), now);
    assert_eq!(verdict(&mut table, now), ContentVerdict::SuspectAlone);
    table.record_success(CONTENT, now);
    assert_eq!(verdict(&mut table, now), ContentVerdict::Unrestricted);
}

/// A crash is reported only once the server's port was found closed; a retry may
/// have been answered by then.
#[test]
fn success_between_a_crash_and_its_report_clears() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.record_success(CONTENT, now + Duration::from_millis(5));
    let mut late = crash(1, "a", true);
    late.age_ms = 20;
    table.record_crash(&late, now + Duration::from_millis(20));
    let later = now + Duration::from_millis(20);
    assert_eq!(verdict(&mut table, later), ContentVerdict::Unrestricted);
    let mut next = crash(2, "b", true);
    next.age_ms = 10;
    table.record_crash(&next, later);
    assert_eq!(verdict(&mut table, later), ContentVerdict::SuspectAlone);
}

#[test]
fn an_old_report_does_not_undo_a_success() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.record_crash(&crash(1, "a", true), now);
    table.record_success(CONTENT, now + Duration::from_secs(1));
    let mut old = crash(1, "a", true);
    old.age_ms = 2_000;
    let later = now + Duration::from_secs(2);
    assert!(!table.record_crash(&old, later));
    table.record_crash(&crash(2, "a", true), later);
    assert_eq!(verdict(&mut table, later), ContentVerdict::SuspectAlone);
}

#[test]
fn always_sends_a_canary_until_content_is_proven() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    let mode = CanaryMode::Always;
    assert_eq!(
        table.verdict(CONTENT, mode, now),
        ContentVerdict::CanaryFirst
    );
    table.record_success(CONTENT, now);
    assert_eq!(
        table.verdict(CONTENT, mode, now),
        ContentVerdict::Unrestricted
    );
}

proptest! {
    #[test]
    fn order_and_repetition_of_reports_do_not_matter(
        crashes in prop::collection::vec((1..5_u64, 0..3_usize, any::<bool>()), 1..8),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let names = ["a", "b", "c"];
        // All reports of a crash agree on the server and on whether the content
        // ran alone.
        let mut reports: Vec<CrashReport> = Vec::new();
        for (number, server, alone) in crashes {
            if reports.iter().all(|report| report.crash != number) {
                reports.push(crash(number, names[server], alone));
            }
        }
        let mut shuffled = reports.clone();
        shuffled.extend(reports.iter().cloned());
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let mut first = QuarantineTable::default();
        let mut second = QuarantineTable::default();
        for report in &reports {
            first.record_crash(report, now);
        }
        for report in &shuffled {
            second.record_crash(report, now);
        }
        prop_assert_eq!(first.digest(), second.digest());
        prop_assert_eq!(verdict(&mut first, now), verdict(&mut second, now));
    }
}

/// Fronts that each receive crashing content again and again, and a store that tells them
/// of a quarantine when they start.
struct SimulatedTier {
    start: Instant,
    fronts: Vec<SimulatedFront>,
    /// What the store holds: the end of the quarantine by the clock of the front that wrote
    /// it, and how long it lasts.
    stored: Option<(Duration, Duration)>,
    crashes: u64,
}

struct SimulatedFront {
    vm: VmName,
    table: QuarantineTable,
    turn: RetryTurn,
    /// How far its time of day is ahead.
    ahead: Duration,
}

const FRONTS: usize = 9;
const STEP: Duration = Duration::from_millis(250);
const END: Duration = Duration::from_secs(85);
/// Time until the others know of a crash.
const SPREAD: Duration = Duration::from_millis(200);

impl SimulatedTier {
    fn new(ahead: [u64; FRONTS]) -> Self {
        let start = Instant::now();
        let front = |(index, seconds): (usize, u64)| {
            let vm = VmName::new(&format!("vm-{index}"));
            SimulatedFront {
                table: QuarantineTable::default(),
                turn: RetryTurn::new(&vm, start),
                ahead: Duration::from_secs(seconds),
                vm,
            }
        };
        Self {
            start,
            fronts: ahead.into_iter().enumerate().map(front).collect(),
            stored: None,
            crashes: 0,
        }
    }

    /// Restarts a front, which takes over what the store holds.
    fn restart(&mut self, front: usize, now: Instant) {
        let SimulatedFront { vm, ahead, .. } = &self.fronts[front];
        let (vm, ahead) = (vm.clone(), *ahead);
        let mut table = QuarantineTable::default();
        if let Some((ends_at, lasts)) = self.stored {
            let notice = QuarantineNotice {
                content: CONTENT,
                ends_in: ends_at.saturating_sub(now - self.start + ahead),
                lasts,
            };
            table.record_notice(&notice, now);
        }
        self.fronts[front] = SimulatedFront {
            table,
            turn: RetryTurn::new(&vm, now),
            ahead,
            vm,
        };
    }

    /// Sends the content to a front; returns whether it ran and crashed a server.
    fn send(&mut self, front: usize, now: Instant) -> bool {
        let own = &self.fronts[front];
        let others = self.fronts.iter().map(|other| &other.vm);
        let others = others.filter(|vm| **vm != own.vm);
        let turn = own.turn.delay(CONTENT, others, now);
        let table = &mut self.fronts[front].table;
        if let ContentVerdict::Quarantined(_) =
            table.admit(CONTENT, CanaryMode::Suspects, turn, now)
        {
            return false;
        }
        self.crashes += 1;
        let mut report = crash(self.crashes, &format!("server-{}", self.crashes), true);
        self.fronts[front].table.record_crash(&report, now);
        report.age_ms = SPREAD.as_millis() as u64;
        for other in &mut self.fronts {
            other.table.record_crash(&report, now + SPREAD);
        }
        if let Some(notice) = self.fronts[front].table.notice(CONTENT, now) {
            let clock = now - self.start + self.fronts[front].ahead;
            self.stored = Some((clock + notice.ends_in, notice.lasts));
        }
        true
    }

    /// Plays to the end with the restarts that are due at `restarts`; returns how often
    /// the content ran.
    fn play(&mut self, restarts: &[(usize, Duration)]) -> usize {
        let mut runs = 0;
        let steps = END.as_millis() / STEP.as_millis();
        for step in 0..steps as u32 {
            let at = STEP * step;
            let now = self.start + at;
            for (front, due) in restarts {
                if *due >= at && *due < at + STEP {
                    self.restart(*front, now);
                }
            }
            runs += usize::from(self.send(step as usize % FRONTS, now));
        }
        runs
    }
}

/// The two runs that cause the quarantine, and one at its end 30 s later; the next one ends
/// after that 60 s later.
const ALLOWED_RUNS: usize = 3;

fn in_turn() -> Vec<(usize, Duration)> {
    let restart = |front| (front, Duration::from_secs(3 + 2 * front as u64));
    (0..FRONTS).map(restart).collect()
}

/// Each front that started gave the quarantine an end of its own, and each front tried the
/// content once at its end.
#[test]
fn fronts_that_restart_in_turn_try_the_content_once() {
    let mut tier = SimulatedTier::new([0; FRONTS]);
    assert_eq!(tier.play(&in_turn()), ALLOWED_RUNS);
}

#[test]
fn fronts_that_all_restart_at_once_try_the_content_once() {
    let mut tier = SimulatedTier::new([0; FRONTS]);
    let restarts: Vec<_> = (0..FRONTS)
        .map(|front| (front, Duration::from_secs(12)))
        .collect();
    assert_eq!(tier.play(&restarts), ALLOWED_RUNS);
}

/// A front whose clock is ahead takes the quarantine to end earlier; what it finds holds
/// for all.
#[test]
fn fronts_with_clocks_apart_try_the_content_once_too() {
    for first in 0..FRONTS {
        let mut ahead = [15; FRONTS];
        ahead[first] = 0;
        ahead[(first + 1) % FRONTS] = 30;
        let mut tier = SimulatedTier::new(ahead);
        let runs = tier.play(&in_turn());
        assert!(runs <= ALLOWED_RUNS + 1, "{runs} runs, front {first}");
    }
}

#[test]
fn fronts_take_turns_when_a_quarantine_ends() {
    let mut tier = SimulatedTier::new([0; FRONTS]);
    assert_eq!(tier.play(&[]), ALLOWED_RUNS);
}

/// The content may come to no front but one, whose turn is late.
#[test]
fn content_that_comes_to_one_front_is_tried_there() {
    for front in 0..FRONTS {
        let mut tier = SimulatedTier::new([0; FRONTS]);
        let mut runs = 0;
        for step in 0..340 {
            let now = tier.start + STEP * step;
            runs += usize::from(tier.send(front, now));
        }
        assert_eq!(runs, ALLOWED_RUNS, "front {front}");
    }
}
