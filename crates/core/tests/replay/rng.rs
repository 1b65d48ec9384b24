//! A random number generator for the loads of tests.

/// SplitMix64: the same seed gives the same numbers in every run.
pub(crate) struct Rng(pub(crate) u64);

impl Rng {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut it = self.0;
        it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        it ^ (it >> 31)
    }

    /// A number from 0 to `limit - 1`.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}
