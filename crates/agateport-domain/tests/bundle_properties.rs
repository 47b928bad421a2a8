//! Properties of bundles that hold with lost messages, partitions and restarts.

#![expect(clippy::unwrap_used, reason = "an inconsistent model fails the test")]

use agateport_domain::bundle::active::compare;
use agateport_domain::bundle::rollout::{Outcome, Response, RowVersion, Step};
use agateport_domain::bundle::{Bundle, Comparison, Drain, Revision, Rollout, Trust};
use agateport_domain::bundle::{Operator, Signed};
use agateport_domain::prelude::*;
use ed25519_dalek::SigningKey;
use proptest::collection::vec;
use proptest::prelude::*;

const NODES: usize = 5;
const OPERATORS: usize = 2;

/// One event of a schedule.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator starts the rollout of a version.
    Roll(usize, BundleVersion),
    /// An operator reads the row; the answer may be lost.
    Read(usize, bool),
    /// An operator writes the row; the write and the answer may each be lost.
    Commit(usize, bool, bool),
    /// A delayed write of an operator arrives.
    Delayed(usize),
    /// A node reads the row as it was that many writes ago.
    Fetch(usize, usize),
    /// Two nodes exchange bundles; the answer may be lost.
    Exchange(usize, usize, bool),
    /// A node restarts and loses its state.
    Restart(usize),
}

impl From<u32> for Event {
    /// Decodes an event from the digits of a number.
    fn from(number: u32) -> Self {
        let mut rest = usize::try_from(number).unwrap();
        let mut digit = |base: usize| {
            let digit = rest % base;
            rest /= base;
            digit
        };
        match digit(7) {
            0 => Self::Roll(digit(OPERATORS), 1 + digit(5) as BundleVersion),
            1 => Self::Read(digit(OPERATORS), digit(2) == 0),
            2 => Self::Commit(digit(OPERATORS), digit(2) == 0, digit(2) == 0),
            3 => Self::Delayed(digit(OPERATORS)),
            4 => Self::Fetch(digit(NODES), digit(3)),
            5 => Self::Exchange(digit(NODES), digit(NODES), digit(2) == 0),
            _ => Self::Restart(digit(NODES)),
        }
    }
}

/// An operator with its last rollout.
#[derive(Default)]
struct OperatorState {
    rollout: Option<(Rollout, Revision)>,
    step: Option<Step>,
    /// A write that may still arrive.
    delayed: Option<(RowVersion, Revision)>,
    rolls: u64,
}

/// The row of the bundle in force, with all its versions, and the revision in force
/// on each node.
#[derive(Default)]
struct Model {
    rows: Vec<Revision>,
    nodes: [Option<Revision>; NODES],
    operators: [OperatorState; OPERATORS],
}

impl Model {
    fn row(&self) -> Option<(RowVersion, Revision)> {
        let version = RowVersion::try_from(self.rows.len()).unwrap();
        Some((version, self.rows.last()?.clone()))
    }

    fn apply(&mut self, expected: RowVersion, revision: &Revision) -> bool {
        if RowVersion::try_from(self.rows.len()).unwrap() != expected {
            return false;
        }
        self.rows.push(revision.clone());
        true
    }

    fn accept(&mut self, node: usize, offered: Option<Revision>) {
        let Some(offered) = offered else { return };
        if compare(self.nodes[node].as_ref(), &offered) == Comparison::Newer {
            self.nodes[node] = Some(offered);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Roll(number, version) => {
                let operator = &mut self.operators[number];
                operator.rolls += 1;
                let digest = format!("{number}-{}", operator.rolls % 2);
                let revision = Revision { version, digest };
                operator.rollout = Some((Rollout::new(revision.clone()), revision));
                operator.step = Some(Step::Read);
            }
            Event::Read(number, is_lost) => self.read(number, is_lost),
            Event::Commit(number, arrives, answered) => self.commit(number, arrives, answered),
            Event::Delayed(number) => {
                if let Some((expected, revision)) = self.operators[number].delayed.take() {
                    self.apply(expected, &revision);
                }
            }
            Event::Fetch(node, ago) => {
                let known = self.rows.len().checked_sub(ago + 1);
                self.accept(node, known.map(|index| self.rows[index].clone()));
            }
            Event::Exchange(node, peer, is_lost) => {
                let (mine, theirs) = (self.nodes[node].clone(), self.nodes[peer].clone());
                self.accept(peer, mine);
                if !is_lost {
                    self.accept(node, theirs);
                }
            }
            Event::Restart(node) => self.nodes[node] = None,
        }
    }

    fn read(&mut self, number: usize, is_lost: bool) {
        let row = self.row();
        let operator = &mut self.operators[number];
        if let (Some(Step::Read), Some((rollout, _))) = (&operator.step, &mut operator.rollout) {
            let step = if is_lost {
                rollout.record_read_failure()
            } else {
                rollout.record_row(row)
            };
            operator.step = Some(step);
            self.check_outcome(number);
        }
    }

    fn commit(&mut self, number: usize, arrives: bool, answered: bool) {
        let operator = &self.operators[number];
        let (Some(Step::Commit(expected)), Some((_, revision))) =
            (&operator.step, &operator.rollout)
        else {
            return;
        };
        let (expected, revision) = (*expected, revision.clone());
        let response = match (
            arrives && self.apply(expected, &revision),
            arrives,
            answered,
        ) {
            (true, _, true) => Response::Applied,
            (false, true, true) => Response::Conflict,
            _ => Response::Lost,
        };
        let operator = &mut self.operators[number];
        if !arrives {
            operator.delayed = Some((expected, revision));
        }
        if let Some((rollout, _)) = &mut operator.rollout {
            operator.step = Some(rollout.record_response(response));
        }
        self.check_outcome(number);
    }

    /// Checks that the outcome reported to an operator is correct.
    fn check_outcome(&self, number: usize) {
        let operator = &self.operators[number];
        let (Some(Step::Finish(outcome)), Some((_, revision))) =
            (&operator.step, &operator.rollout)
        else {
            return;
        };
        match outcome {
            Outcome::InForce | Outcome::AlreadyInForce => assert!(self.rows.contains(revision)),
            Outcome::Superseded(other) => {
                assert!(self.rows.contains(other));
                assert!(other.version >= revision.version && other != revision);
            }
            Outcome::Unreadable | Outcome::Unknown => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn versions_never_decrease_and_accepted_ones_reach_every_node(numbers in vec(any::<u32>(), 1..60)) {
        let mut model = Model::default();
        for event in numbers.into_iter().map(Event::from) {
            let before = model.nodes.clone();
            model.handle(event);
            for (node, before) in before.iter().enumerate() {
                let is_restart = matches!(event, Event::Restart(restarted) if restarted == node);
                let version = |revision: &Option<Revision>| revision.as_ref().map(|known| known.version);
                prop_assert!(is_restart || version(before) <= version(&model.nodes[node]));
                let is_replaced = version(before) == version(&model.nodes[node])
                    && *before != model.nodes[node];
                prop_assert!(!is_replaced);
            }
            let versions = model.rows.iter().map(|row| row.version);
            prop_assert!(versions.is_sorted_by(|version, next| version < next));
        }
        // One node reads the platform, then each node exchanges with the next.
        model.handle(Event::Fetch(0, 0));
        for node in 0..NODES {
            model.handle(Event::Exchange(node, (node + 1) % NODES, false));
        }
        let in_force = model.rows.last();
        for node in &model.nodes {
            prop_assert_eq!(node.as_ref(), in_force);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn parser_never_panics(text in "(version = 1\n|default_priority = \"a\"\n|\\[\\[group\\]\\]\n|\\[\\[priority\\]\\]\nname = \"a\"\n|name = \"a\"\n|server = \\[\\]\n|target = \"1s\"\n|worth = 1\n|\\[|\\]|=|\"|.){0,12}") {
        let _ = Bundle::parse(&text);
        let _ = text.parse::<Revision>();
    }

    #[test]
    fn only_signed_texts_are_drain_commands(text in "drain [a-c]{1,2}( [0-9]{1,20})?.{0,3}", key in any::<[u8; 32]>()) {
        let ann = SigningKey::from_bytes(&[1; 32]);
        let operator = Operator { name: "ann".to_owned(), key: ann.verifying_key() };
        let trust = Trust::new(vec![operator], &[], 1).unwrap();
        let now = SystemTime::now();
        let signed = Signed::new(text.clone(), &SigningKey::from_bytes(&key));
        let untrusted = Drain::check(&signed, &trust, &"a".into(), SystemTime::UNIX_EPOCH, now);
        prop_assert!(untrusted.is_err());
        let signed = Signed::new(text, &ann);
        let _ = Drain::check(&signed, &trust, &"a".into(), SystemTime::UNIX_EPOCH, now);
    }
}
