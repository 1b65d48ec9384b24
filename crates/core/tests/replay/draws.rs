//! Numbers for loads, the same in every run.

/// Numbers that look drawn, the same in every run.
pub(crate) struct Draws(pub(crate) u64);

impl Draws {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut it = self.0;
        it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        it ^ (it >> 31)
    }

    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}
