//! Sizes of the simulated deployments.

use agateport_domain::bundle::{Priority, Server};
use agateport_domain::prelude::*;
use std::net::{Ipv4Addr, SocketAddr};

/// A priority and the service time of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    /// Target latency.
    pub target: Duration,
    /// Worth of an answer within the target, relative to other classes.
    pub worth: u32,
    /// Guaranteed share of the slots, in percent.
    pub minimum_share: u32,
    /// Mean service time; service times are exponentially distributed.
    pub service: Duration,
}

/// The size of a deployment, for one of its servers.
#[derive(Clone, Debug)]
pub struct Profile {
    pub name: &'static str,
    pub nodes: usize,
    pub zones: usize,
    pub slots: usize,
    pub connections: usize,
    /// Round-trip time between two nodes.
    pub round_trip: Duration,
    /// Time that the server needs to accept a connection.
    pub connect: Duration,
    /// Requests of each priority that may wait at one owner.
    pub queue: usize,
    pub classes: [Class; 3],
}

/// Creates a class. `target` and `service` are in milliseconds, `share` in percent.
const fn class(name: &'static str, target: u64, worth: u32, share: u32, service: u64) -> Class {
    Class {
        name,
        target: Duration::from_millis(target),
        worth,
        minimum_share: share,
        service: Duration::from_millis(service),
    }
}

impl Profile {
    /// Seven nodes in three zones, with three slots and 20 connections per server.
    pub fn nairobi() -> Self {
        Self {
            name: "nairobi",
            nodes: 7,
            zones: 3,
            slots: 3,
            connections: 20,
            round_trip: Duration::from_millis(1),
            connect: Duration::from_millis(10),
            queue: 256,
            classes: [
                class("payment", 250, 100, 20, 10),
                class("counter", 500, 20, 20, 10),
                class("archive", 5_000, 1, 5, 40),
            ],
        }
    }

    /// Six nodes in four zones, with two slots and 30 connections per server.
    pub fn tallinn() -> Self {
        Self {
            name: "tallinn",
            nodes: 6,
            zones: 4,
            slots: 2,
            connections: 30,
            round_trip: Duration::from_micros(1_500),
            connect: Duration::from_millis(10),
            queue: 256,
            classes: [
                class("submission", 500, 100, 20, 20),
                class("routine", 1_000, 20, 20, 10),
                class("archive", 5_000, 1, 5, 40),
            ],
        }
    }

    /// Returns the server that all nodes share.
    pub fn server(&self) -> Server {
        Server {
            name: "server".into(),
            zone: "zone-0".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            slots: self.slots,
            connections: self.connections,
        }
    }

    pub fn priorities(&self) -> Vec<Priority> {
        let all = self.classes.iter().map(|class| Priority {
            name: class.name.into(),
            target: class.target,
            worth: class.worth,
            minimum_share: class.minimum_share,
        });
        all.collect()
    }

    /// Returns the factor by which `running` concurrent statements slow down.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    pub fn slowdown(&self, running: usize) -> f64 {
        (running as f64 / self.slots as f64).max(1.0)
    }

    /// Returns the rate, in requests per second, at which a priority uses
    /// `fraction` of the server's capacity.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    pub fn rate(&self, class: usize, fraction: f64) -> f64 {
        fraction * self.slots as f64 / self.classes[class].service.as_secs_f64()
    }
}
