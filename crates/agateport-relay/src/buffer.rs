//! Input buffers that grow with a message and are given back after it.

use bytes::BytesMut;

/// Size of a block in bytes. A message that is longer is received in blocks of this one
/// size and joined when it is complete: buffers that are doubled leave memory of many sizes
/// with the allocator, which rarely fits the next message.
pub const BLOCK: usize = 16 << 10;

/// Received bytes that have not been decoded.
#[derive(Debug)]
pub struct Input {
    /// Full blocks of a message that has not been received completely.
    blocks: Vec<BytesMut>,
    /// What follows the blocks.
    pub bytes: BytesMut,
    /// Number of bytes at the start of `bytes` in which no message ends.
    pub searched: usize,
    initial: usize,
    /// Size of the allocation that holds `bytes`, including what has been decoded.
    allocated: usize,
}

impl Input {
    /// Creates an empty buffer with an initial capacity in bytes.
    #[must_use]
    pub fn new(initial: usize) -> Self {
        Self {
            blocks: Vec::new(),
            bytes: BytesMut::with_capacity(initial),
            searched: 0,
            initial,
            allocated: initial,
        }
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty() && self.bytes.is_empty()
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len() * BLOCK + self.bytes.len()
    }

    /// Returns whether earlier parts of the message are in blocks, so that `bytes` cannot be
    /// decoded.
    #[must_use]
    pub fn is_split(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Returns the byte before the one at `index` of `bytes`.
    #[must_use]
    pub fn byte_before(&self, index: usize) -> Option<u8> {
        match index.checked_sub(1) {
            Some(index) => self.bytes.get(index).copied(),
            None => self.blocks.last()?.last().copied(),
        }
    }

    /// Returns the memory in bytes that the buffer uses.
    #[must_use]
    pub fn allocated(&self) -> usize {
        self.blocks.len() * BLOCK + self.allocated
    }

    /// Makes room for more bytes if there is none.
    pub fn make_room(&mut self) {
        let length = self.bytes.len();
        if self.bytes.capacity() > length || self.bytes.try_reclaim(self.initial) {
            return;
        }
        if length < BLOCK {
            // A buffer whose start is still in use is replaced by one that is as large.
            let capacity = (self.allocated.min(BLOCK / 2) * 2).max(self.initial);
            self.replace(capacity);
            return;
        }
        let block = std::mem::replace(&mut self.bytes, BytesMut::with_capacity(BLOCK));
        self.blocks.push(block);
        self.allocated = BLOCK;
        self.searched = 0;
    }

    /// Joins the blocks, so that `bytes` can be decoded.
    pub fn join(&mut self) {
        let length = self.len();
        let mut bytes = BytesMut::with_capacity(length);
        for block in self
            .blocks
            .drain(..)
            .chain([std::mem::take(&mut self.bytes)])
        {
            bytes.extend_from_slice(&block);
        }
        self.blocks = Vec::new();
        self.bytes = bytes;
        self.searched = 0;
        self.allocated = length;
    }

    /// Gives a grown buffer back if little is left in it.
    pub fn release(&mut self) {
        if self.allocated > BLOCK && self.bytes.len() <= BLOCK && !self.is_split() {
            self.replace(self.bytes.len().max(self.initial));
        } else if self.allocated > self.initial && self.is_empty() {
            self.replace(self.initial);
        }
    }

    fn replace(&mut self, capacity: usize) {
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
        self.allocated = capacity;
    }
}
