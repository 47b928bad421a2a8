//! Bundles: diagnostics, signatures, the bundle in force, and rollouts.

#![expect(clippy::unwrap_used, reason = "an invalid scenario fails the test")]

mod script;

use agateport_domain::bundle::drain;
use agateport_domain::bundle::rollout::{Outcome, Response, RowVersion, Step};
use agateport_domain::bundle::{
    Active, Bundle, Drain, Operator, Revision, Rollout, Signed, Trust, change,
};
use agateport_domain::prelude::*;
use ed25519_dalek::SigningKey;
use miette::NarratableReportHandler;
use test_case::test_case;

fn text(version: BundleVersion, comment: &str) -> String {
    let valid = include_str!("bundles/valid.toml");
    let numbered = valid.replace("version = 3", &format!("version = {version}"));
    format!("{numbered}# {comment}\n")
}

fn key(name: &str) -> SigningKey {
    let mut bytes = [0; 32];
    bytes[..name.len()].copy_from_slice(name.as_bytes());
    SigningKey::from_bytes(&bytes)
}

fn operators(names: &[&str]) -> Vec<Operator> {
    let operators = names.iter().map(|name| Operator {
        name: (*name).to_owned(),
        key: key(name).verifying_key(),
    });
    operators.collect()
}

#[test]
fn diagnostics() {
    insta::glob!("bundles/*.toml", |path| {
        let text = std::fs::read_to_string(path).unwrap();
        let report = match Bundle::parse(&text) {
            Ok(bundle) => format!("version {} without errors", bundle.version),
            Err(error) => {
                let mut report = String::new();
                let handler = NarratableReportHandler::new().with_context_lines(0);
                handler.render_report(&mut report, &error).unwrap();
                report
            }
        };
        insta::assert_snapshot!(report);
    });
}

#[test]
fn active() {
    insta::glob!("scenarios/active/*.txt", |path| {
        let scenario = std::fs::read_to_string(path).unwrap();
        let mut node = Active::default();
        let mut trust = Trust::new(operators(&["ann"]), &[], 1).unwrap();
        let transcript = script::run(&scenario, |words| active_step(&mut node, &mut trust, words));
        insta::assert_snapshot!(transcript);
    });
}

fn active_step(node: &mut Active, trust: &mut Trust, words: &[&str]) -> Vec<String> {
    match words {
        ["trust", threshold, names @ ..] => {
            let mut parts = names.split(|name| *name == "revoked");
            let known = operators(parts.next().unwrap_or_default());
            let revoked = operators(parts.next().unwrap_or_default());
            let revoked: Vec<_> = revoked.into_iter().map(|operator| operator.key).collect();
            match Trust::new(known, &revoked, threshold.parse().unwrap()) {
                Ok(next) => *trust = next,
                Err(error) => return vec![error.to_string()],
            }
            Vec::new()
        }
        ["offer", version, comment, signers @ ..] => {
            let signed = sign(text(version.parse().unwrap(), comment), signers);
            match node.offer(signed, trust) {
                Ok(comparison) => vec![format!("{comparison:?}")],
                Err(error) => vec![short(&error.to_string())],
            }
        }
        ["restart"] => {
            *node = Active::default();
            Vec::new()
        }
        ["in-force"] => {
            let revision = node.revision().map(ToString::to_string);
            vec![short(&revision.unwrap_or_else(|| "none".to_owned()))]
        }
        ["rejected"] => {
            let reason = node.rejected().map(|(_, reason)| short(reason));
            vec![reason.unwrap_or_else(|| "none".to_owned())]
        }
        other => panic!("the command {other:?} is unknown"),
    }
}

fn sign(text: String, signers: &[&str]) -> Signed {
    let mut signed = Signed {
        text,
        signatures: Vec::new(),
    };
    for signer in signers {
        match signer.split_once(':') {
            None => signed.sign(&key(signer)),
            Some((name, "twice")) => {
                let duplicate = Signed::new(signed.text.clone(), &key(name));
                signed.signatures.extend_from_slice(&duplicate.signatures);
                signed.signatures.extend_from_slice(&duplicate.signatures);
            }
            Some((name, _)) => {
                let mut forged = Signed::new("another text".to_owned(), &key(name));
                signed.signatures.append(&mut forged.signatures);
            }
        }
    }
    signed
}

/// Shortens digests to six digits for the snapshots.
fn short(text: &str) -> String {
    let words = text.split(' ').map(|word| match word.split_once(':') {
        Some((version, digest)) => format!("{version}:{}", &digest[..digest.len().min(6)]),
        None => word.to_owned(),
    });
    words.collect::<Vec<_>>().join(" ")
}

#[test]
fn rollouts() {
    insta::glob!("scenarios/rollout/*.txt", |path| {
        let scenario = std::fs::read_to_string(path).unwrap();
        let mut table = Table::default();
        let transcript = script::run(&scenario, |words| table.step(words));
        insta::assert_snapshot!(transcript);
    });
}

#[derive(Default)]
struct Table {
    row: Option<(RowVersion, Revision)>,
    rollouts: BTreeMap<String, (Rollout, Revision, RowVersion)>,
}

impl Table {
    fn step(&mut self, words: &[&str]) -> Vec<String> {
        match words {
            ["roll", name, version, digest] => {
                let revision = Revision {
                    version: version.parse().unwrap(),
                    digest: (*digest).to_owned(),
                };
                let rollout = (Rollout::new(revision.clone()), revision, 0);
                self.rollouts.insert((*name).to_owned(), rollout);
                Vec::new()
            }
            ["read", name] => {
                let row = self.row.clone();
                self.advance(name, |rollout| rollout.record_row(row))
            }
            ["read-failed", name] => self.advance(name, Rollout::record_read_failure),
            ["read-failed", name, times] => {
                let times: usize = times.parse().unwrap();
                let lines =
                    (0..times).flat_map(|_| self.advance(name, Rollout::record_read_failure));
                lines.last().into_iter().collect()
            }
            ["commit", name, how @ ..] => self.commit(name, how),
            ["row"] => vec![format!("{:?}", self.row)],
            other => panic!("the command {other:?} is unknown"),
        }
    }

    fn commit(&mut self, name: &str, how: &[&str]) -> Vec<String> {
        let (_, revision, expected) = self.rollouts[name].clone();
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        let response = match how {
            ["dropped"] => Response::Lost,
            _ if version != expected => Response::Conflict,
            _ => {
                self.row = Some((version + 1, revision));
                if how.is_empty() {
                    Response::Applied
                } else {
                    Response::Lost
                }
            }
        };
        self.advance(name, |rollout| rollout.record_response(response))
    }

    fn advance(&mut self, name: &str, action: impl FnOnce(&mut Rollout) -> Step) -> Vec<String> {
        let (rollout, _, expected) = self.rollouts.get_mut(name).unwrap();
        let step = action(rollout);
        if let Step::Commit(version) = step {
            *expected = version;
        }
        vec![match step {
            Step::Finish(Outcome::Superseded(by)) => format!("Superseded by {by}"),
            step => format!("{step:?}"),
        }]
    }
}

#[test]
fn differences() {
    let before = Bundle::parse(&text(1, "")).unwrap();
    let after = text(2, "")
        .replace("ledger-1", "ledger-2")
        .replace("500ms", "1s");
    let after = Bundle::parse(&after).unwrap();
    let mut limits = before.clone();
    limits.groups[0].servers[0].connections = 5;
    let list = |before: Option<&Bundle>, after: &Bundle| {
        let changes = change::diff(before, after);
        let lines = changes.iter().map(ToString::to_string);
        lines.collect::<Vec<_>>()
    };
    insta::assert_debug_snapshot!((
        list(None, &before),
        list(Some(&before), &after),
        list(Some(&before), &limits),
        list(Some(&before), &before),
    ));
}

#[test_case("node-1", 0, "ann" => Ok("ann".to_owned()); "just issued")]
#[test_case("node-1", 61, "ann" => Err(drain::Error::OutsideValidity); "expired")]
#[test_case("node-1", -61, "ann" => Err(drain::Error::OutsideValidity); "issued in the future")]
#[test_case("node-1", 1000, "ann" => Err(drain::Error::OutsideValidity); "issued before the node started")]
#[test_case("node-2", 0, "ann" => Err(drain::Error::OtherNode("node-2".to_owned())); "for another node")]
#[test_case("node-1", 0, "eve" => Err(drain::Error::NotSigned); "signed by an unknown operator")]
fn drain_commands(node: &str, age: i64, signer: &str) -> Result<String, drain::Error> {
    let now = SystemTime::UNIX_EPOCH + Duration::from_hours(1);
    let distance = Duration::from_secs(age.unsigned_abs());
    let issued = if age < 0 {
        now + distance
    } else {
        now - distance
    };
    let drain = Drain {
        node: node.into(),
        issued,
    };
    let trust = Trust::new(operators(&["ann"]), &[], 1).unwrap();
    let started = now - Duration::from_mins(10);
    Drain::check(
        &drain.sign(&key(signer)),
        &trust,
        &"node-1".into(),
        started,
        now,
    )
}

#[test]
fn verifiers_are_never_printed() {
    let bundle = Bundle::parse(&text(1, "")).unwrap();
    let shown = format!("{bundle:?} {:?}", bundle.users[0].verifier());
    assert!(!shown.contains("c3RvcmVk"), "{shown}");
    assert!(!shown.contains("c2VydmVy"), "{shown}");
}
