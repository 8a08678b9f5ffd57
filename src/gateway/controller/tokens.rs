//! Fencing tokens of a controller: the epoch of its lease in the upper bits, and a sequence that
//! counts within the epoch.

/// Width of the sequence within an epoch, in bits.
pub const SEQUENCE_BITS: u32 = 24;
/// A new epoch is started when less than the sequence divided by this is left.
const RENEWAL_DIVISOR: u64 = 4;
/// No commands are issued while less than the sequence divided by this is left, so that those of
/// one step never use the tokens of the next epoch.
const RESERVE_DIVISOR: u64 = 16;

/// Tokens that rise with each call and with each epoch.
#[derive(Clone, Copy, Debug)]
pub struct TokenSequence {
    bits: u32,
    epoch: u64,
    last: u64,
}

impl TokenSequence {
    /// Tokens with a sequence of `bits`, before the first epoch.
    pub fn new(bits: u32) -> Self {
        Self {
            bits,
            epoch: 0,
            last: 0,
        }
    }

    /// Continues with the tokens of `epoch`, unless it is not later than the present one.
    pub fn start_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.last = self.first_of(epoch);
        }
    }

    /// The lowest token of an epoch.
    pub fn first_of(&self, epoch: u64) -> u64 {
        epoch << self.bits
    }

    /// The epoch of a token.
    pub fn epoch_of(&self, token: u64) -> u64 {
        token >> self.bits
    }

    /// The next token. The last one of the epoch is repeated at its end, which [`Self::is_spent`]
    /// announces.
    pub fn next_token(&mut self) -> u64 {
        let end = ((self.epoch + 1) << self.bits) - 1;
        self.last = (self.last + 1).min(end);
        self.last
    }

    /// Whether a new epoch should be started.
    pub fn needs_epoch(&self) -> bool {
        self.left() < (1 << self.bits) / RENEWAL_DIVISOR
    }

    /// Whether no command may be issued before a new epoch starts.
    pub fn is_spent(&self) -> bool {
        self.left() < (1 << self.bits) / RESERVE_DIVISOR
    }

    /// Tokens that are left in the epoch.
    fn left(&self) -> u64 {
        ((self.epoch + 1) << self.bits) - 1 - self.last
    }
}
