//! What open transactions that are idle hold.

use agateport_domain::admission::{Admission, Queue, Share, Ticket};
use agateport_domain::bundle::Priority;
use agateport_domain::prelude::*;
use proptest::prelude::*;

const SHARE: Share = Share {
    slots: 2,
    connections: 6,
};

fn queue(now: Instant) -> Queue {
    let priority = Priority {
        name: "default".into(),
        target: Duration::from_secs(1),
        worth: 1,
        minimum_share: 0,
    };
    Queue::new(SHARE, 64, &[priority], now).expect("a share")
}

fn ticket(request: RequestId, now: Instant) -> Ticket {
    Ticket {
        request,
        priority: "default".into(),
        caller: "caller".into(),
        due: now + Duration::from_secs(1),
    }
}

proptest! {
    /// Guards against idle transactions that hold slots: while they leave a connection, as many
    /// statements start as if there were none.
    #[test]
    fn idle_transactions_hold_no_slot(idle in 0_u64..=4, is_pausing_twice in any::<bool>()) {
        let now = Instant::now();
        let mut queue = queue(now);
        for request in 0..idle {
            prop_assert_eq!(queue.offer(ticket(request, now), now), Ok(Admission::Started));
            queue.pause(request, now);
            if is_pausing_twice {
                queue.resume(request, now);
                queue.pause(request, now);
            }
        }
        prop_assert_eq!(queue.running(), 0);
        for request in 10..12 {
            prop_assert_eq!(queue.offer(ticket(request, now), now), Ok(Admission::Started));
        }
        prop_assert_eq!(queue.running(), SHARE.slots);
        prop_assert!(queue.connections_in_use() <= SHARE.connections);
    }
}
