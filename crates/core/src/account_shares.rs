//! What each client account has used of the fleet of late.

use indexmap::IndexMap;

use crate::Name;

/// Doublings after which stored values are scaled down again.
const RESCALE_DOUBLINGS: f64 = 40.0;

/// Weight of an account whose share is nought or which the sheet lacks, in percent.
const LEAST_SHARE_PERCENT: f64 = 0.1;

/// Decaying use of every account: this instance's own and its peers'.
///
/// Values are kept with forward decay: a token counts 2^((t - landmark) / half-life),
/// so that values may be compared without being brought to the present first.
#[derive(Clone, Debug)]
pub struct AccountShares {
    half_life_ms: f64,
    landmark_ms: u64,
    accounts: IndexMap<Name, Account>,
    peers: IndexMap<Name, Peer>,
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// At least [`LEAST_SHARE_PERCENT`].
    share_percent: f64,
    /// Scaled to the landmark; never negative.
    own: f64,
    /// Scaled to the landmark; the sum of what [`Peer::used`] holds for the account.
    peers: f64,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Time of the newest snapshot taken in; older ones are dropped.
    as_of_ms: u64,
    /// Scaled to the landmark.
    used: Vec<(Name, f64)>,
}

/// Decayed use of one account at one instance at a moment.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub account: Name,
    /// Decayed tokens at the snapshot's time.
    pub tokens: f64,
}

impl AccountShares {
    /// No use by anybody. Use loses half its weight every `half_life_ms`.
    pub fn new(half_life_ms: u64) -> AccountShares {
        AccountShares {
            half_life_ms: half_life_ms.max(1) as f64,
            landmark_ms: 0,
            accounts: IndexMap::new(),
            peers: IndexMap::new(),
        }
    }

    /// Sets an account's share of the fleet, in percent.
    pub fn set_share(&mut self, account: &Name, share_percent: f64) {
        self.account(account).share_percent = share_percent.max(LEAST_SHARE_PERCENT);
    }

    /// Charges tokens to an account; a negative number corrects an earlier charge.
    pub fn charge(&mut self, account: &Name, tokens: f64, now_ms: u64) {
        let scaled = tokens * self.scale(now_ms);
        let entry = self.account(account);
        entry.own = (entry.own + scaled).max(0.0);
    }

    /// Use by share, for comparing accounts: the lowest is the furthest below its share.
    pub fn usage_per_share(&self, account: &Name) -> f64 {
        match self.accounts.get(account) {
            Some(it) => (it.own + it.peers) / it.share_percent,
            None => 0.0,
        }
    }

    /// The account's share in percent, at least a tenth.
    pub fn share_percent(&self, account: &Name) -> f64 {
        self.accounts.get(account).map_or(LEAST_SHARE_PERCENT, |it| it.share_percent)
    }

    /// Decayed tokens of an account over the fleet.
    pub fn used_tokens(&mut self, account: &Name, now_ms: u64) -> f64 {
        let scale = self.scale(now_ms);
        self.accounts.get(account).map_or(0.0, |it| (it.own + it.peers) / scale)
    }

    /// This instance's own use, for its peers.
    pub fn snapshot(&mut self, now_ms: u64) -> Vec<AccountUsage> {
        let scale = self.scale(now_ms);
        self.accounts
            .iter()
            .filter(|(_, it)| it.own / scale >= 1.0)
            .map(|(name, it)| AccountUsage { account: name.clone(), tokens: it.own / scale })
            .collect()
    }

    /// Takes in a peer's snapshot in place of its earlier one. Returns whether it was newer.
    pub fn merge_peer(&mut self, peer: &Name, as_of_ms: u64, uses: &[AccountUsage]) -> bool {
        let scale = self.scale(as_of_ms);
        if self.peers.get(peer).is_some_and(|it| it.as_of_ms >= as_of_ms) {
            return false;
        }
        self.remove_peer(peer);
        let mut used = Vec::with_capacity(uses.len());
        for it in uses {
            let scaled = it.tokens.max(0.0) * scale;
            self.account(&it.account).peers += scaled;
            used.push((it.account.clone(), scaled));
        }
        self.peers.insert(peer.clone(), Peer { as_of_ms, used });
        true
    }

    /// Drops what a peer reported.
    pub fn remove_peer(&mut self, peer: &Name) {
        let Some(gone) = self.peers.swap_remove(peer) else { return };
        for (account, scaled) in gone.used {
            let entry = self.account(&account);
            entry.peers = (entry.peers - scaled).max(0.0);
        }
    }

    fn account(&mut self, account: &Name) -> &mut Account {
        self.accounts
            .entry(account.clone())
            .or_insert_with(|| Account { share_percent: LEAST_SHARE_PERCENT, ..Account::default() })
    }

    fn scale(&mut self, at_ms: u64) -> f64 {
        if self.landmark_ms == 0 {
            self.landmark_ms = at_ms;
        }
        let doublings = self.doublings(at_ms);
        if doublings <= RESCALE_DOUBLINGS {
            return doublings.exp2();
        }
        let factor = (-doublings).exp2();
        for it in self.accounts.values_mut() {
            it.own *= factor;
            it.peers *= factor;
        }
        for (_, scaled) in self.peers.values_mut().flat_map(|it| &mut it.used) {
            *scaled *= factor;
        }
        self.landmark_ms = at_ms;
        1.0
    }

    fn doublings(&self, at_ms: u64) -> f64 {
        (at_ms as f64 - self.landmark_ms as f64) / self.half_life_ms
    }
}
