//! The commands of a promotion scenario.

use super::Simulation;
use agateport_domain::group::Ballot;
use agateport_domain::group::promotion::{Effect, Promotion};
use agateport_domain::prelude::*;

/// Upper bound of the effects of one attempt.
const MAX_EFFECTS: usize = 20;

fn format_watermark(watermark: Watermark) -> String {
    format!("{}/{}", Ballot::from(watermark.term), watermark.position)
}

fn format_effect(effect: &Effect) -> String {
    match effect {
        Effect::Claim(term) => format!("claim {}", Ballot::from(*term)),
        Effect::Fence(server, term) => format!("fence {server} {}", Ballot::from(*term)),
        Effect::Promote(server, term) => format!("promote {server} {}", Ballot::from(*term)),
        Effect::Follow {
            server,
            primary,
            term,
        } => format!("follow {server} {primary} {}", Ballot::from(*term)),
        Effect::Record(server, term) => format!("record {server} {}", Ballot::from(*term)),
    }
}

/// Returns the index of a promoter; `p1` is the first.
fn parse_promoter(word: &str) -> usize {
    let number: usize = word[1..]
        .parse()
        .expect("the name of a promoter ends in a number");
    number - 1
}

impl Simulation {
    /// Executes one command and returns its output.
    pub fn step(&mut self, words: &[&str]) -> Vec<String> {
        let lines = match words {
            ["write", server] => return self.format_write(&ServerId::from(*server)),
            ["replicate", servers @ ..] => {
                for server in servers {
                    self.replicate(&ServerId::from(*server));
                }
                Vec::new()
            }
            ["report", servers @ ..] => {
                for server in servers {
                    self.report(&ServerId::from(*server));
                }
                self.acknowledge();
                vec![format!("acknowledged {:?}", self.acknowledged)]
            }
            ["isolate", server] => {
                self.set_reachable(&ServerId::from(*server), false);
                Vec::new()
            }
            ["reconnect", server] => {
                self.set_reachable(&ServerId::from(*server), true);
                Vec::new()
            }
            ["platform", state] => {
                self.is_platform_down = *state == "down";
                Vec::new()
            }
            ["answers", state] => {
                self.drops_answers = *state == "lost";
                Vec::new()
            }
            ["wait", milliseconds] => {
                let milliseconds = milliseconds
                    .parse()
                    .expect("the length of a wait is a number");
                self.now += Duration::from_millis(milliseconds);
                Vec::new()
            }
            ["refuse", server] => {
                self.group.record_refusal(&ServerId::from(*server));
                Vec::new()
            }
            ["timeout", server] => {
                self.group.record_timeout(&ServerId::from(*server));
                Vec::new()
            }
            ["diagnose"] => {
                let cause = self.group.diagnose(self.now);
                vec![cause.map_or("no cause", |cause| cause.name()).to_owned()]
            }
            ["misaligned"] => self
                .group
                .realign(self.now)
                .iter()
                .map(format_effect)
                .collect(),
            ["realign"] => {
                self.realign();
                Vec::new()
            }
            ["servers"] => self.format_servers(),
            words => self.step_promoter(words),
        };
        self.check();
        lines.into_iter().chain(self.violation()).collect()
    }

    fn step_promoter(&mut self, words: &[&str]) -> Vec<String> {
        match words {
            ["start", name] => {
                self.start(parse_promoter(name));
                self.format_promoter(parse_promoter(name))
            }
            ["do", name, count] => {
                let count: usize = count.parse().expect("a count is a number");
                self.execute_next(parse_promoter(name), count)
            }
            ["finish", name] => self.execute_next(parse_promoter(name), MAX_EFFECTS),
            ["drop", name] => {
                self.drop_effect(parse_promoter(name), 0);
                self.format_promoter(parse_promoter(name))
            }
            ["expire", name] => {
                self.expire(parse_promoter(name));
                self.format_promoter(parse_promoter(name))
            }
            ["crash", name] => {
                self.crash(parse_promoter(name));
                Vec::new()
            }
            other => panic!("the command {other:?} is unknown"),
        }
    }

    fn format_write(&mut self, server: &ServerId) -> Vec<String> {
        let before = self.written.len();
        self.write(server);
        let written = self.written.get(before);
        vec![written.map_or("refused".to_owned(), |(at, value)| {
            format!("write {value} at {}", format_watermark(*at))
        })]
    }

    fn execute_next(&mut self, number: usize, count: usize) -> Vec<String> {
        let mut lines = Vec::new();
        for _ in 0..count {
            let Some(next) = self.promoters[number].pending.first().map(format_effect) else {
                break;
            };
            self.execute(number, 0);
            lines.push(next);
        }
        lines.extend(self.format_promoter(number));
        lines
    }

    fn format_promoter(&self, number: usize) -> Vec<String> {
        let promoter = &self.promoters[number];
        let step = promoter.attempt.as_ref().map(Promotion::step);
        let step = step.map_or("no attempt".to_owned(), |step| format!("{step:?}"));
        let pending: Vec<_> = promoter.pending.iter().map(format_effect).collect();
        vec![format!("= {step}; pending [{}]", pending.join(", "))]
    }

    fn format_servers(&self) -> Vec<String> {
        let lines = self.servers.iter().map(|(name, server)| {
            let status = server.status();
            let log = server.log.iter().map(|entry| entry.value.to_string());
            format!(
                "{name} {:?} in term {}, log [{}], last {}",
                status.role,
                Ballot::from(status.term),
                log.collect::<Vec<_>>().join(" "),
                format_watermark(status.last)
            )
        });
        lines.collect()
    }
}
