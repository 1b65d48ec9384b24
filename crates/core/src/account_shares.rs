//! Recent token usage of each client account, for weighted fair queueing.

use indexmap::IndexMap;

use crate::Name;

/// Half-lives after the landmark at which stored values are rescaled to a new landmark, so that the
/// scale factor cannot overflow.
const RESCALE_HALF_LIVES: f64 = 40.0;

/// Share of an account that has a share of zero or is missing from the sheet, in percent.
const MIN_SHARE_PERCENT: f64 = 0.1;

/// Decaying usage of every account, at this instance and at its peers.
///
/// Values use forward decay: a token used at time t is stored as 2^((t - landmark) / half-life),
/// so that values of different accounts can be compared without decaying them to the present.
#[derive(Clone, Debug)]
pub struct AccountShares {
    half_life_ms: f64,
    /// Reference time of the stored values; 0 before the first use.
    landmark_ms: u64,
    accounts: IndexMap<Name, Account>,
    peers: IndexMap<Name, Peer>,
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// At least [`MIN_SHARE_PERCENT`].
    share_percent: f64,
    /// Usage at this instance, scaled to the landmark; never negative.
    local: f64,
    /// Usage at all peers, scaled to the landmark; the sum of [`Peer::usages`] for the account.
    peers: f64,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Time of the newest snapshot merged; older ones are ignored.
    as_of_ms: u64,
    /// Usage by account, scaled to the landmark.
    usages: Vec<(Name, f64)>,
}

/// Usage of one account at one instance, decayed to the time of the snapshot.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AccountUsage {
    /// Client account.
    pub account: Name,
    /// Tokens, decayed to the snapshot's time.
    pub tokens: f64,
}

impl AccountShares {
    /// Creates a table without usage. Usage loses half its weight every `half_life_ms`.
    pub fn new(half_life_ms: u64) -> AccountShares {
        AccountShares {
            half_life_ms: half_life_ms.max(1) as f64,
            landmark_ms: 0,
            accounts: IndexMap::new(),
            peers: IndexMap::new(),
        }
    }

    /// Sets the share of total capacity that an account is entitled to, in percent.
    pub fn set_share(&mut self, account: &Name, share_percent: f64) {
        self.account(account).share_percent = share_percent.max(MIN_SHARE_PERCENT);
    }

    /// Adds used tokens to an account; a negative number corrects an earlier charge.
    pub fn charge(&mut self, account: &Name, tokens: f64, now_ms: u64) {
        let scaled = tokens * self.scale(now_ms);
        let entry = self.account(account);
        entry.local = (entry.local + scaled).max(0.0);
    }

    /// Usage divided by share, only for comparing accounts: the lowest is furthest below its share.
    pub fn usage_per_share(&self, account: &Name) -> f64 {
        match self.accounts.get(account) {
            Some(it) => (it.local + it.peers) / it.share_percent,
            None => 0.0,
        }
    }

    /// The account's share, in percent; at least 0.1.
    pub fn share_percent(&self, account: &Name) -> f64 {
        self.accounts.get(account).map_or(MIN_SHARE_PERCENT, |it| it.share_percent)
    }

    /// Decayed tokens that an account used at all instances.
    pub fn used_tokens(&mut self, account: &Name, now_ms: u64) -> f64 {
        let scale = self.scale(now_ms);
        self.accounts.get(account).map_or(0.0, |it| (it.local + it.peers) / scale)
    }

    /// Usage at this instance, to be sent to its peers; accounts below one token are left out.
    pub fn snapshot(&mut self, now_ms: u64) -> Vec<AccountUsage> {
        let scale = self.scale(now_ms);
        self.accounts
            .iter()
            .filter(|(_, it)| it.local / scale >= 1.0)
            .map(|(name, it)| AccountUsage { account: name.clone(), tokens: it.local / scale })
            .collect()
    }

    /// Replaces a peer's usage by a newer snapshot. Returns whether the snapshot was newer.
    pub fn merge_peer(&mut self, peer: &Name, as_of_ms: u64, usages: &[AccountUsage]) -> bool {
        let scale = self.scale(as_of_ms);
        if self.peers.get(peer).is_some_and(|it| it.as_of_ms >= as_of_ms) {
            return false;
        }
        self.remove_peer(peer);
        let mut scaled_usages = Vec::with_capacity(usages.len());
        for it in usages {
            let scaled = it.tokens.max(0.0) * scale;
            self.account(&it.account).peers += scaled;
            scaled_usages.push((it.account.clone(), scaled));
        }
        self.peers.insert(peer.clone(), Peer { as_of_ms, usages: scaled_usages });
        true
    }

    /// Removes the usage that a peer reported.
    pub fn remove_peer(&mut self, peer: &Name) {
        let Some(removed) = self.peers.swap_remove(peer) else { return };
        for (account, scaled) in removed.usages {
            let entry = self.account(&account);
            entry.peers = (entry.peers - scaled).max(0.0);
        }
    }

    fn account(&mut self, account: &Name) -> &mut Account {
        self.accounts
            .entry(account.clone())
            .or_insert_with(|| Account { share_percent: MIN_SHARE_PERCENT, ..Account::default() })
    }

    /// Factor by which a token at `at_ms` is stored; moves the landmark when it is too far back.
    fn scale(&mut self, at_ms: u64) -> f64 {
        if self.landmark_ms == 0 {
            self.landmark_ms = at_ms;
        }
        let half_lives = self.half_lives_since_landmark(at_ms);
        if half_lives <= RESCALE_HALF_LIVES {
            return half_lives.exp2();
        }
        let factor = (-half_lives).exp2();
        for it in self.accounts.values_mut() {
            it.local *= factor;
            it.peers *= factor;
        }
        for (_, scaled) in self.peers.values_mut().flat_map(|it| &mut it.usages) {
            *scaled *= factor;
        }
        self.landmark_ms = at_ms;
        1.0
    }

    fn half_lives_since_landmark(&self, at_ms: u64) -> f64 {
        (at_ms as f64 - self.landmark_ms as f64) / self.half_life_ms
    }
}
