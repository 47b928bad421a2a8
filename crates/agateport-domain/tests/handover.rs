//! Selection of a group's primary, and its leases.

use agateport_domain::group::handover::{Candidate, Former, Record, State, Step, decide};
use agateport_domain::group::{Detector, LEASE_DURATION, Leadership, Lease, Progress, Roster};
use agateport_domain::prelude::*;
use proptest::prelude::*;
use std::fmt::Write;

fn at(milliseconds: u64) -> Uptime {
    Duration::from_millis(100_000 + milliseconds)
}

fn watermark(term: Term, position: Position) -> Watermark {
    Watermark { term, position }
}

fn candidate(text: &str) -> Candidate {
    let (name, marks) = text.split_once(':').unwrap_or((text, ""));
    let position = marks.chars().find_map(|mark| mark.to_digit(10));
    Candidate {
        server: name.into(),
        last: position.map(|position| watermark(1, u64::from(position))),
        is_primary: marks.contains(['p', 'q']),
        led_term: marks
            .find(['p', 'q'])
            .map(|mark| if marks[mark..].starts_with('p') { 1 } else { 2 }),
        is_leaving: marks.contains('l'),
        is_eligible: !marks.contains('w'),
    }
}

fn leadership(primary: &str, is_settled: bool) -> Leadership {
    Leadership {
        primary: primary.into(),
        fence: 1,
        is_settled,
        roster: Roster::default(),
        base: None,
        term: None,
        former: None,
        succession: 0,
    }
}

/// Returns a step, with what a chosen server was chosen by.
fn describe(step: &Step) -> String {
    let Step::Record(choice) = step else {
        return format!("{step:?}");
    };
    let last = choice.last.map_or("-".to_owned(), |last| last.to_string());
    let former = choice.former.as_deref().unwrap_or("-");
    format!("Record({}, log {last}, former {former})", choice.server)
}

/// Returns one line of the table: the record (`?` if it is unsettled), the servers
/// (`p` primary, `q` primary in the next term, `l` leaving, `w` new, a digit for the log
/// position), the flags of the state
/// (`n` no primary, `x` unreachable, `d` demoted, `f` former primary known, `r` released,
/// `o` ordered, `u` record outdated), the
/// time since the record was read, and the step.
fn row(record: Option<Leadership>, servers: &str, marks: &str, milliseconds: u64) -> String {
    let candidates: Vec<_> = servers.split(' ').map(candidate).collect();
    let has_former = marks.contains(['d', 'f']);
    let record = record.map(|record| Leadership {
        former: has_former.then(|| "a".into()),
        ..record
    });
    let state = State {
        record: match &record {
            _ if marks.contains('u') => Record::Outdated,
            None => Record::Absent,
            Some(leadership) => Record::Current(leadership, at(0)),
        },
        candidates: &candidates,
        base: None,
        term: None,
        leaderless_since: marks.contains('n').then(|| at(0)),
        missing_since: None,
        leading: &BTreeSet::new(),
        is_unreachable: marks.contains('x'),
        former: if marks.contains('d') {
            Former::Demoted
        } else if marks.contains('f') {
            Former::Known
        } else {
            Former::Unknown
        },
        is_released: marks.contains('r'),
        ordered_at: marks.contains('o').then(|| at(0)),
        is_roster_due: false,
    };
    let step = decide(&state, at(milliseconds));
    let record = record.map_or_else(
        || "-".to_owned(),
        |leadership| {
            format!(
                "{}{}",
                leadership.primary,
                if leadership.is_settled { "" } else { "?" }
            )
        },
    );
    format!(
        "{record:4} {servers:24} {marks:3} {milliseconds:5} ms  {}",
        describe(&step)
    )
}

#[test]
fn steps_of_a_handover() {
    let settled = || Some(leadership("a", true));
    let under_way = || Some(leadership("b", false));
    let rows = [
        row(None, "a:p5 b:5 c:4", "", 0),
        row(None, "a:pl5 b:5 c:4", "", 0),
        row(None, "b:5 c:6", "n", 100),
        row(None, "b:5 c:6", "n", 3_000),
        row(settled(), "a:p5 b:5 c:4", "", 0),
        row(settled(), "a:p5 b:4 c:5", "x", 0),
        row(settled(), "a:pl5 b:4 c:l5", "", 0),
        row(settled(), "a:p5 b c", "x", 0),
        row(settled(), "a:p5 b:p9 c:4", "x", 0),
        row(settled(), "a:p5 b:p9", "x", 0),
        row(settled(), "b:4 c:5", "", 0),
        row(settled(), "a:5 b:4 c:5", "", 0),
        row(under_way(), "a:p5 b:5 c:4", "", 100),
        row(under_way(), "a:5 b:5 c:4", "d", 100),
        row(under_way(), "a:p5 b:5 c:4", "r", 100),
        row(under_way(), "a:p5 b:5 c:4", "", 800),
        row(under_way(), "a:p5 b:5 c:4", "", 1_200),
        row(under_way(), "a:p5 b:5 c:4", "o", 1_300),
        row(under_way(), "a:p5 b:5 c:4", "o", 1_600),
        row(under_way(), "a:5 b:p5 c:4", "d", 800),
        row(under_way(), "a:5 b:p5 c:4", "d", 1_000),
        row(under_way(), "a:5 b:p5 c:4", "d", 1_200),
        row(under_way(), "a:5 c:4", "", 100),
        row(under_way(), "a:5 b:5 c:4", "x", 1_300),
        row(under_way(), "a:5 b:5 c:4", "xo", 6_000),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}

/// Nodes without the store may not know a new server. It is promoted in place of a primary
/// that leaves, once that one has been demoted.
#[test]
fn a_new_server_is_promoted_after_a_demotion() {
    let settled = || Some(leadership("a", true));
    let under_way = || Some(leadership("b", false));
    let rows = [
        row(None, "a:pl5 b:w5", "", 0),
        row(settled(), "a:pl5 b:w5", "", 0),
        row(settled(), "a:pl5 b:w5 c:4", "", 0),
        row(settled(), "a:p5 b:w5", "x", 0),
        row(settled(), "a:pl5 b:w5", "x", 0),
        row(settled(), "b:w5", "", 0),
        row(Some(leadership("a", false)), "a:pl5 b:w5", "", 0),
        row(under_way(), "a:pl5 b:w5", "", 1_200),
        row(under_way(), "a:pl5 b:w5", "f", 100),
        row(under_way(), "a:l5 b:w5", "fd", 100),
        row(under_way(), "a:pl5 b:w5", "fr", 100),
        row(under_way(), "a:pl5 b:5", "f", 100),
        row(under_way(), "a:pl5 b:5", "f", 1_200),
        row(under_way(), "a:pl5 b:w5 c:4", "f", 1_200),
        row(under_way(), "a:pl5 b:w5 c:4", "f", 6_000),
        row(under_way(), "a:pl5 b:wl5", "f", 6_000),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}

/// After the store was restored, a record may name a primary that was replaced since.
#[test]
fn a_lost_record_brings_no_former_primary_back() {
    let outdated = || Some(leadership("a", true));
    let rows = [
        row(outdated(), "a:p5 b:5 c:4", "u", 0),
        row(outdated(), "a:p9 b:q5 c:4", "u", 0),
        row(outdated(), "a b:q5 c:4", "u", 0),
        row(outdated(), "a b:q5 c:4", "ux", 0),
        row(outdated(), "a:p5 b c", "u", 0),
        row(outdated(), "a:p b:5 c:4", "u", 0),
        row(outdated(), "a:p b:5 c:4", "ux", 0),
        row(outdated(), "a:p b c:4", "ux", 0),
        row(outdated(), "a:pl5 b:5 c:4", "u", 0),
        row(outdated(), "a b:5 c:4", "un", 100),
        row(outdated(), "a b:5 c:4", "un", 3_000),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}

/// Returns one line of the table: the base of the settled record of `a` (`?` if it is not
/// settled, a digit for the term of `a`), the ends of the other servers' logs, the time without a primary, and the step.
fn branch_row(
    base: Option<Watermark>,
    mark: &str,
    logs: &[(&str, Watermark)],
    leaderless: u64,
) -> String {
    branch_row_of(base, mark, logs, leaderless, &[])
}

/// The same if the servers `leading` led after the record was written.
fn branch_row_of(
    base: Option<Watermark>,
    mark: &str,
    logs: &[(&str, Watermark)],
    leaderless: u64,
    leading: &[&str],
) -> String {
    let record = Leadership {
        base,
        ..leadership("a", mark != "?")
    };
    let candidates: Vec<_> = logs
        .iter()
        .map(|(server, last)| Candidate {
            last: Some(*last),
            ..candidate(server)
        })
        .collect();
    let state = State {
        record: Record::Current(&record, at(0)),
        candidates: &candidates,
        base,
        term: mark.parse().ok(),
        leaderless_since: Some(at(0)),
        missing_since: None,
        leading: &leading.iter().copied().map(ServerId::from).collect(),
        is_unreachable: true,
        former: Former::Unknown,
        is_released: false,
        ordered_at: None,
        is_roster_due: false,
    };
    let step = decide(&state, at(leaderless));
    let base = base.map_or_else(|| "-".to_owned(), |base| base.to_string());
    let logs: Vec<_> = logs
        .iter()
        .map(|(server, last)| format!("{server}:{last}"))
        .collect();
    format!(
        "{base:5}{mark:1} {:16} {leaderless:5} ms  {}",
        logs.join(" "),
        describe(&step)
    )
}

/// The recorded server was lost before it was promoted, or just after. Only a server that leads
/// in its place shows that reads have missed none of its entries.
#[test]
fn a_server_that_led_after_an_unsettled_record_keeps_its_entries() {
    let base = Some(watermark(1, 40));
    let replica = ("b", watermark(1, 40));
    let former = ("c", watermark(1, 42));
    let rows = [
        branch_row_of(base, "?", &[replica, former], 0, &["c"]),
        branch_row_of(base, "?", &[replica, former], 0, &[]),
        branch_row_of(base, "?", &[former], 0, &["c"]),
        branch_row_of(base, "?", &[former], 0, &[]),
        branch_row_of(base, "?", &[former], 8_000, &[]),
        branch_row_of(base, "", &[replica, former], 0, &["c"]),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}

/// A former primary may return with entries that the handover dropped. Reads at its
/// successor did not see them, so they must not come back.
#[test]
fn entries_that_a_handover_dropped_do_not_come_back() {
    let base = Some(watermark(1, 40));
    let replica = ("b", watermark(1, 40));
    let former = ("c", watermark(1, 42));
    let rows = [
        branch_row(base, "", &[replica, former], 0),
        branch_row(base, "", &[("b", watermark(2, 41)), former], 0),
        branch_row(base, "", &[("b", watermark(1, 38)), former], 0),
        branch_row(base, "", &[former], 0),
        branch_row(base, "", &[former], 7_900),
        branch_row(base, "", &[former], 8_000),
        branch_row(base, "", &[replica, former], 8_000),
        // An earlier handover dropped the entries.
        branch_row(Some(watermark(2, 50)), "", &[former], 0),
        // The recorded server may never have been promoted.
        branch_row(base, "?", &[former], 0),
        // The base is not known.
        branch_row(None, "", &[replica, former], 0),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}

/// The second of two handovers promoted a server that had received nothing of the term between
/// them. Entries of that term are not on the branch, although their term is above the base's.
#[test]
fn entries_of_a_term_between_two_handovers_do_not_come_back() {
    let base = Some(watermark(1, 38));
    let former = ("c", watermark(2, 45));
    let rows = [
        branch_row(base, "3", &[("b", watermark(1, 37)), former], 0),
        branch_row(base, "3", &[("b", watermark(3, 40)), former], 0),
        branch_row(base, "3", &[former], 0),
        branch_row(base, "3", &[former], 8_000),
        branch_row(base, "2", &[former], 0),
        // The term is not known.
        branch_row(base, "", &[("b", watermark(1, 37)), former], 0),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn a_server_is_unreachable_after_lasting_failures() {
    let mut transcript = String::new();
    let mut detector = Detector::default();
    for (milliseconds, is_answer) in [(0, false), (100, true), (200, false), (300, false)] {
        if is_answer {
            detector.record_success();
        } else {
            detector.record_failure(at(milliseconds));
        }
        let later = [0, 200, 400].map(|later| detector.is_unreachable(at(milliseconds + later)));
        writeln!(
            transcript,
            "{milliseconds} {is_answer} {} {later:?}",
            detector.is_suspected()
        )
        .expect("writing to a string does not fail");
    }
    insta::assert_snapshot!(transcript);
}

/// A node with its own lease, as the property below simulates it.
#[derive(Clone, Copy, Debug)]
struct Node {
    lease: Lease,
}

proptest! {
    /// Once a new primary is promoted, no node may still use the former one, unless
    /// that was demoted, at whatever times the nodes read the record.
    #[test]
    fn no_node_uses_the_former_primary_when_the_next_is_promoted(
        reads in prop::collection::vec((0_u64..5_000, 0_usize..4), 1..60),
        written in 0_u64..4_000,
        seen_after in 0_u64..800,
    ) {
        let mut nodes = [Node { lease: Lease::default() }; 4];
        for (sent_at, node) in reads {
            // A read after the record was written returns the new primary, so it
            // does not renew the lease of the former one.
            if sent_at < written {
                nodes[node].lease.renew(at(sent_at));
            }
        }
        let record = leadership("b", false);
        let candidates = [candidate("a:p5"), candidate("b:5")];
        let seen = at(written + seen_after);
        for later in 0..2_000 {
            let now = seen + Duration::from_millis(later);
            let state = State {
                record: Record::Current(&record, seen),
                candidates: &candidates,
                base: None,
                term: None,
                leaderless_since: None,
                missing_since: None,
                leading: &BTreeSet::new(),
                is_unreachable: true,
                former: Former::Unknown,
                is_released: false,
                ordered_at: None,
                is_roster_due: false,
            };
            if let Step::Promote(_) = decide(&state, now) {
                for node in &nodes {
                    prop_assert!(!node.lease.covers(now));
                }
            }
        }
    }

    /// A floor covers every write that was acknowledged before the requested
    /// moment.
    #[test]
    fn a_floor_covers_what_was_acknowledged(
        steps in prop::collection::vec((1_u64..300, 0_u64..5), 1..60),
        age in 0_u64..3_000,
    ) {
        let mut progress = Progress::default();
        let (mut now, mut position) = (0, 0);
        let mut acknowledged = Vec::new();
        for (pause, writes) in steps {
            now += pause;
            position += writes;
            acknowledged.push((at(now), position));
            progress.record(at(now) + Duration::from_millis(1), watermark(1, position));
        }
        let freshness_bound = at(now).saturating_sub(Duration::from_millis(age));
        if let Some((_, floor)) = progress.floor(freshness_bound) {
            let before = acknowledged.iter().filter(|(moment, _)| *moment < freshness_bound);
            let needed = before.map(|(_, position)| *position).max().unwrap_or(0);
            prop_assert!(floor.position >= needed);
        }
    }
}

#[test]
fn a_lease_holds_for_its_duration() {
    let mut lease = Lease::default();
    lease.renew(at(0));
    lease.confirm(at(500));
    let end = at(0) + LEASE_DURATION;
    assert!(lease.covers(end.saturating_sub(Duration::from_millis(1))));
    assert!(!lease.covers(end));
}
