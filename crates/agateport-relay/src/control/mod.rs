//! The tasks beside the request path: what the store says, who leads, and what
//! to do about a primary that is lost.

pub mod doubt;
pub mod duty;
pub mod neighbour;
pub mod peer;
pub mod poll;
pub mod presence;
pub mod round;
mod succession;
pub mod wake;
