//! The platform's list of instances and endpoints, which lags.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::Instant;

use crate::platform::unix_ms;

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: EntryKind,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where an instance takes calls of peers and operators.
    pub control_address: Option<SocketAddr>,
    /// The availability zone it stands in.
    pub availability_zone: String,
    /// Whether it is about to leave.
    pub state: EntryState,
}

/// Kind of an entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryKind {
    /// An instance of the system.
    Instance,
    /// An endpoint.
    Endpoint,
}

/// State of an entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryState {
    /// It takes work.
    Live,
    /// It is about to leave.
    Leaving,
}

/// The answer to a read of the list.
#[derive(Serialize)]
pub(crate) struct ListAnswer {
    as_of_unix_ms: u64,
    entries: Vec<ListItem>,
}

/// An item of the list.
#[derive(Serialize)]
#[serde(untagged)]
enum ListItem {
    Odd(Box<RawValue>),
    Entry(Entry),
}

/// Versions of the list, oldest first, each with the moment it was set.
#[derive(Default)]
pub(crate) struct ListHistory {
    versions: VecDeque<(Instant, Vec<Entry>)>,
    /// JSON of further items, which readers see at once, before the entries.
    odd: Vec<Box<RawValue>>,
}

impl ListHistory {
    /// Sets the list from now on.
    pub(crate) fn set(&mut self, entries: Vec<Entry>) {
        self.versions.push_back((Instant::now(), entries));
    }

    /// Sets further items, which are JSON of any form.
    pub(crate) fn set_odd(&mut self, items: Vec<Box<RawValue>>) {
        self.odd = items;
    }

    /// The list as last set.
    pub(crate) fn latest(&self) -> Vec<Entry> {
        self.versions.back().map(|it| it.1.clone()).unwrap_or_default()
    }

    /// The list as it was before the lag.
    pub(crate) fn read(&mut self, lag_ms: u64) -> ListAnswer {
        let lag = Duration::from_millis(lag_ms);
        let now = Instant::now();
        while self.versions.get(1).is_some_and(|it| now - it.0 >= lag) {
            self.versions.pop_front();
        }
        let seen = self.versions.front().filter(|it| now - it.0 >= lag);
        let entries = seen.map(|it| it.1.clone()).unwrap_or_default();
        let odd = self.odd.iter().cloned().map(ListItem::Odd);
        let entries = odd.chain(entries.into_iter().map(ListItem::Entry)).collect();
        ListAnswer { as_of_unix_ms: unix_ms().saturating_sub(lag_ms), entries }
    }
}
