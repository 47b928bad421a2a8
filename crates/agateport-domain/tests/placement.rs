//! Ranking of the servers that may run a read.

use agateport_domain::pace::Standing;
use agateport_domain::prelude::*;
use agateport_domain::session::placement::{Candidate, order};

/// Parses a candidate of the form `NAME,FLAGS,POSITION,LOAD`.
///
/// The flags are `p` for the primary, `n` for the same zone and `r` for a recent
/// watermark; a position that is not a number is unknown.
fn candidate(text: &str) -> Candidate {
    let words: Vec<&str> = text.split(',').collect();
    let position = words[2].parse().ok();
    Candidate {
        server: words[0].into(),
        is_primary: words[1].contains('p'),
        is_same_zone: words[1].contains('n'),
        watermark: position.map(|position| Watermark { term: 1, position }),
        is_recent: words[1].contains('r'),
        load: words[3].parse().expect("the load is a number"),
        standing: Standing::NORMAL,
    }
}

fn row(servers: &str, floor: Option<u64>) -> String {
    let candidates: Vec<_> = servers.split(' ').map(candidate).collect();
    let floor = floor.map(|position| Watermark { term: 1, position });
    let order = order(&candidates, floor);
    format!("{servers:40} {floor:?}\n    {}", order.join(" "))
}

#[test]
fn servers_for_a_read() {
    let rows = [
        row("a,p,9,0 b,n,9,0 c,,9,0", Some(7)),
        row("a,p,9,0 b,n,9,3 c,,9,0", Some(7)),
        row("a,p,9,0 b,n,9,9 c,,9,9", Some(7)),
        row("a,p,9,0 b,nr,5,0 c,,5,0", Some(7)),
        row("a,p,9,0 b,n,-,0 c,,9,0", Some(7)),
        row("a,pn,9,0 b,n,9,0 c,,9,0", None),
        row("b,n,9,0 c,,9,0", None),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}
