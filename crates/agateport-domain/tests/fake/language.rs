//! The commands of a scenario.

use super::World;
use agateport_domain::group::Ballot;
use agateport_domain::group::promotion::{Effect, Promotion};
use agateport_domain::prelude::*;

/// Effects of one attempt at most.
const EFFECTS: usize = 20;

fn place(place: Watermark) -> String {
    format!("{}/{}", Ballot::from(place.term), place.position)
}

fn effect(effect: &Effect) -> String {
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

/// Returns the index of a promoter: `p1` is the first.
fn promoter(word: &str) -> usize {
    let number: usize = word[1..].parse().expect("a promoter has a number");
    number - 1
}

impl World {
    /// Carries out one command.
    pub fn step(&mut self, words: &[&str]) -> Vec<String> {
        let lines = match words {
            ["write", server] => return self.write_line(&ServerId::from(*server)),
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
            ["cut", server] => {
                self.set_reachable(&ServerId::from(*server), false);
                Vec::new()
            }
            ["heal", server] => {
                self.set_reachable(&ServerId::from(*server), true);
                Vec::new()
            }
            ["platform", state] => {
                self.is_platform_down = *state == "down";
                Vec::new()
            }
            ["answers", state] => {
                self.loses_answers = *state == "lost";
                Vec::new()
            }
            ["wait", milliseconds] => {
                let milliseconds = milliseconds.parse().expect("a wait has a length");
                self.now += Duration::from_millis(milliseconds);
                Vec::new()
            }
            ["refuse", server] => {
                self.group.record_refusal(&ServerId::from(*server));
                Vec::new()
            }
            ["miss", server] => {
                self.group.record_timeout(&ServerId::from(*server));
                Vec::new()
            }
            ["diagnose"] => {
                let cause = self.group.diagnose(self.now);
                vec![cause.map_or("well", |cause| cause.name()).to_owned()]
            }
            ["strays"] => self.group.realign(self.now).iter().map(effect).collect(),
            ["point"] => {
                self.point();
                Vec::new()
            }
            ["servers"] => self.server_lines(),
            words => self.promoter_step(words),
        };
        self.check();
        lines.into_iter().chain(self.broken()).collect()
    }

    fn promoter_step(&mut self, words: &[&str]) -> Vec<String> {
        match words {
            ["start", name] => {
                self.start(promoter(name));
                self.asked(promoter(name))
            }
            ["do", name, count] => {
                let count: usize = count.parse().expect("a count is a number");
                self.run(promoter(name), count)
            }
            ["finish", name] => self.run(promoter(name), EFFECTS),
            ["drop", name] => {
                self.drop_effect(promoter(name), 0);
                self.asked(promoter(name))
            }
            ["expire", name] => {
                self.expire(promoter(name));
                self.asked(promoter(name))
            }
            ["end", name] => {
                self.end(promoter(name));
                Vec::new()
            }
            other => panic!("the command {other:?} is unknown"),
        }
    }

    fn write_line(&mut self, server: &ServerId) -> Vec<String> {
        let before = self.written.len();
        self.write(server);
        let written = self.written.get(before);
        vec![written.map_or("refused".to_owned(), |(at, value)| {
            format!("write {value} at {}", place(*at))
        })]
    }

    fn run(&mut self, number: usize, count: usize) -> Vec<String> {
        let mut lines = Vec::new();
        for _ in 0..count {
            let Some(next) = self.promoters[number].asked.first().map(effect) else {
                break;
            };
            self.carry_out(number, 0);
            lines.push(next);
        }
        lines.extend(self.asked(number));
        lines
    }

    fn asked(&self, number: usize) -> Vec<String> {
        let promoter = &self.promoters[number];
        let step = promoter.attempt.as_ref().map(Promotion::step);
        let step = step.map_or("no attempt".to_owned(), |step| format!("{step:?}"));
        let asked: Vec<_> = promoter.asked.iter().map(effect).collect();
        vec![format!("= {step}; asks [{}]", asked.join(", "))]
    }

    fn server_lines(&self) -> Vec<String> {
        let lines = self.servers.iter().map(|(name, server)| {
            let status = server.status();
            let log = server.log.iter().map(|entry| entry.value.to_string());
            format!(
                "{name} {:?} in {}, log [{}] to {}",
                status.role,
                Ballot::from(status.term),
                log.collect::<Vec<_>>().join(" "),
                place(status.last)
            )
        });
        lines.collect()
    }
}
