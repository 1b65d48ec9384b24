//! An operator or peer of a fleet under test.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use tanagergauge_core::Name;
use tanagergauge_daemon::{
    keyring::{KeyRing, Rights},
    meter::{Meter, Partner},
    operator::{STATUS, Status},
    rpc::{RpcClient, RpcError},
    trust::Trust,
};
use tanagergauge_testenv::{Fleet, Instance, TestKey, default_keys, key_file};

/// Longest wait for an instance's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Someone with keys.
pub(crate) struct Client {
    rpc: RpcClient,
}

impl Client {
    /// Someone with these keys, who seals with one of these rights.
    pub(crate) fn new(rights: Rights, keys: &[TestKey]) -> Client {
        let ring = KeyRing::parse(&key_file(keys)).unwrap();
        let trust = Trust::new(Name::from("client"), rights, ring).into();
        Client { rpc: RpcClient::new(trust, Meter::new(Partner::Peers)) }
    }

    /// An operator with the default key.
    pub(crate) fn operator() -> Client {
        Client::new(Rights::Read, &default_keys())
    }

    /// Asks an instance.
    pub(crate) async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        asked: SocketAddr,
        method: &'static str,
        question: &Q,
    ) -> Result<A, RpcError> {
        self.rpc.call(asked, method, question, ANSWER_TIMEOUT).await
    }

    /// What an instance is doing.
    pub(crate) async fn status(&self, instance: &Instance) -> Result<Status, RpcError> {
        self.call(control(instance), STATUS, &()).await
    }

    /// Whether each instance satisfies a condition.
    #[allow(dead_code, reason = "not every test file asks all instances")]
    pub(crate) async fn all(&self, fleet: &Fleet, holds: impl Fn(&Status) -> bool) -> bool {
        for instance in &fleet.instances {
            match self.status(instance).await {
                Ok(status) if holds(&status) => (),
                _ => return false,
            }
        }
        true
    }
}

/// Control address of an instance.
pub(crate) fn control(instance: &Instance) -> SocketAddr {
    instance.control_address().expect("it listens for operators")
}
