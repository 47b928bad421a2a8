//! The memory that clients make a node hold, and who gives it back when it is short.

use super::Reason;
use crate::id::Uptime;
use crate::shard::Sharded;
use std::cmp::Reverse;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Memory of each connection in bytes that does not count: ordinary messages and answers
/// fit, so their connections neither use nor need the budget.
pub const FREE_BYTES: usize = 16 << 10;

/// The memory of one connection.
#[derive(Debug)]
pub struct Account<T> {
    id: u64,
    /// What the connection is to whoever closes it.
    pub owner: T,
    /// Bytes that count in the budget. Written only under the lock of `state`.
    charged: AtomicUsize,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    progressed_at: Uptime,
    /// Why the connection is closed; none while it is open.
    closed: Option<Reason>,
}

impl<T> Account<T> {
    /// Returns the number of bytes that count in the budget.
    #[must_use]
    pub fn charged(&self) -> usize {
        self.charged.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What follows from a change of what a connection holds.
#[derive(Debug)]
pub struct Resized<T> {
    /// Why the connection is closed and must not use the memory; none if it may.
    pub refusal: Option<Reason>,
    /// The connections that were marked as closed for it, which may include itself. What
    /// they hold no longer counts.
    pub closed: Vec<Arc<Account<T>>>,
}

impl<T> Default for Resized<T> {
    fn default() -> Self {
        Self {
            refusal: None,
            closed: Vec::new(),
        }
    }
}

/// The memory of all connections.
#[derive(Debug)]
pub struct Budget<T> {
    /// Maximum number of bytes; none if unlimited.
    limit: Option<usize>,
    held: AtomicUsize,
    accounts: Sharded<u64, Arc<Account<T>>>,
    next_id: AtomicU64,
}

impl<T> Budget<T> {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: Option<usize>) -> Self {
        Self {
            limit,
            held: AtomicUsize::new(0),
            accounts: Sharded::new(),
            next_id: AtomicU64::new(0),
        }
    }

    /// Returns the number of bytes that count.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Opens the account of a new connection.
    #[must_use]
    pub fn open(&self, owner: T, now: Uptime) -> Arc<Account<T>> {
        let account = Arc::new(Account {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            owner,
            charged: AtomicUsize::new(0),
            state: Mutex::new(State {
                progressed_at: now,
                closed: None,
            }),
        });
        self.accounts.insert(account.id, account.clone());
        account
    }

    /// Records that a connection holds, or is about to hold, `bytes`, and returns what
    /// follows from that.
    pub fn resize(&self, account: &Account<T>, bytes: usize, now: Uptime) -> Resized<T> {
        let charge = bytes.saturating_sub(FREE_BYTES);
        if charge == 0 && account.charged() == 0 {
            return Resized::default();
        }
        let former = {
            let mut state = account.lock();
            if let Some(reason) = state.closed {
                return Resized {
                    refusal: Some(reason),
                    closed: Vec::new(),
                };
            }
            state.progressed_at = now;
            let former = account.charged.swap(charge, Ordering::Relaxed);
            self.held.fetch_add(charge, Ordering::Relaxed);
            self.held.fetch_sub(former, Ordering::Relaxed);
            former
        };
        if charge <= former {
            return Resized::default();
        }
        let closed = self.relieve();
        Resized {
            refusal: account.lock().closed,
            closed,
        }
    }

    /// Closes the connections that hold the most, and of equal ones the one without progress
    /// for the longest, until the rest is within the limit.
    fn relieve(&self) -> Vec<Arc<Account<T>>> {
        let mut closed = Vec::new();
        let Some(limit) = self.limit else {
            return closed;
        };
        while self.held() > limit {
            let Some(largest) = self.largest() else {
                break;
            };
            if self.close(&largest, Reason::Memory) {
                closed.push(largest);
            }
        }
        closed
    }

    fn largest(&self) -> Option<Arc<Account<T>>> {
        let mut most = (0, Reverse(Uptime::ZERO));
        let mut largest = None;
        self.accounts.for_each(|_, account| {
            if account.charged() == 0 {
                return;
            }
            let rank = (account.charged(), Reverse(account.lock().progressed_at));
            if largest.is_none() || rank > most {
                most = rank;
                largest = Some(account.clone());
            }
        });
        largest
    }

    /// Marks a connection as closed, and returns whether it was open. What it holds no
    /// longer counts.
    pub fn close(&self, account: &Account<T>, reason: Reason) -> bool {
        let mut state = account.lock();
        if state.closed.is_some() {
            return false;
        }
        state.closed = Some(reason);
        let charged = account.charged.swap(0, Ordering::Relaxed);
        self.held.fetch_sub(charged, Ordering::Relaxed);
        true
    }

    /// Removes the account of a connection that has ended.
    pub fn remove(&self, account: &Account<T>) {
        self.accounts.remove(&account.id);
        let charged = {
            let _state = account.lock();
            account.charged.swap(0, Ordering::Relaxed)
        };
        self.held.fetch_sub(charged, Ordering::Relaxed);
    }
}
