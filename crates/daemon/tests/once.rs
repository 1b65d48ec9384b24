//! What may not be repeated runs at most once, judged by what the service ran against
//! what callers were told.

mod support;

use std::{collections::HashMap, time::Duration};

use hyper::Method;
use support::Client;
use tanagergauge_core::{Outcome, Reason};
use tanagergauge_standins::EngineSettings;
use tanagergauge_testenv::{
    Answer, Call, Fleet, FleetOptions, OTHER_TOKEN, PUBLISH_CLASS, TOKEN, eventually,
};
use uuid::Uuid;

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

/// Deadline of calls whose owner does not answer, in milliseconds.
const SHORT_MS: u64 = 700;

/// Instances that know each other, and one service.
async fn fleet(instances: usize, more: &str) -> Fleet {
    let options = FleetOptions {
        instances,
        engines: vec![EngineSettings::default()],
        more: more.to_owned(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(BINARY, options).await.unwrap();
    meet(&fleet).await;
    fleet
}

async fn meet(fleet: &Fleet) {
    let count = fleet.instances.len();
    let operator = Client::operator();
    eventually("instances meet", async || {
        operator.all(fleet, |it| it.members.len() == count).await
    })
    .await;
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn publish(key: &str) -> Call {
    Call::service(PUBLISH_CLASS, "publish", "cue 12").key(key)
}

async fn ticket(fleet: &Fleet, at: usize) -> String {
    let call = Call::new(Method::POST, "/v1/tickets").token(TOKEN);
    let answer = call.send(fleet.instances[at].address()).await;
    answer.json().unwrap()["ticket"].as_str().unwrap().to_owned()
}

/// Everything that callers were told, by key.
#[derive(Default)]
struct Judge {
    told: HashMap<String, Vec<Answer>>,
}

impl Judge {
    async fn send(&mut self, fleet: &Fleet, at: usize, key: &str, call: Call) -> Answer {
        let answer = call.send(fleet.instances[at].address()).await;
        self.told.entry(key.to_owned()).or_default().push(answer.clone());
        answer
    }

    async fn publish(&mut self, fleet: &Fleet, at: usize, key: &str) -> Answer {
        self.send(fleet, at, key, publish(key)).await
    }

    /// Fails if a key ran twice, or if a caller was told what is not true.
    fn judge(&self, fleet: &Fleet) {
        for (key, told) in &self.told {
            let runs = runs(fleet, key);
            assert!(runs <= 1, "{key} ran {runs} times");
            for answer in told {
                match answer.outcome() {
                    Some(Outcome::NotRun) => assert_eq!(runs, 0, "{key}: {answer:?}"),
                    Some(Outcome::Answered) => {
                        assert_eq!(runs, 1, "{key}: {answer:?}");
                        let receipt = answer.json().unwrap();
                        assert_eq!(receipt["idempotency_key"], key.as_str());
                    }
                    Some(Outcome::Unknown) | None => {}
                }
            }
        }
    }
}

fn runs(fleet: &Fleet, key: &str) -> usize {
    let runs = fleet.services.iter().flat_map(|it| it.runs());
    runs.filter(|it| it.idempotency_key.as_deref() == Some(key)).count()
}

async fn runs_once(fleet: &Fleet, key: &str) {
    eventually("it runs", async || runs(fleet, key) > 0).await;
}

fn assert_told(answer: &Answer, outcome: Outcome, reason: Option<Reason>) {
    assert_eq!((answer.outcome(), answer.reason()), (Some(outcome), reason), "{answer:?}");
}

macro_rules! scenarios {
    ($($name:ident($fleet:ident, $judge:ident): $instances:expr, $more:expr, $body:block)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            #[allow(unused_mut, reason = "only some scenarios restart an instance")]
            let mut $fleet = fleet($instances, $more).await;
            let mut $judge = Judge::default();
            $body
            $judge.judge(&$fleet);
        }
    )*};
}

scenarios! {
    a_retry_through_another_instance_gets_the_first_answer(fleet, judge): 2, "", {
        let key = new_key();
        let first = judge.publish(&fleet, 0, &key).await;
        let second = judge.publish(&fleet, 1, &key).await;
        assert_told(&first, Outcome::Answered, None);
        assert_eq!(first.body, second.body);
        assert_told(&second, Outcome::Answered, None);
    }

    sendings_through_all_instances_at_once_run_once(fleet, judge): 3, "", {
        fleet.services[0].switch(|it| it.delay_ms = 100);
        for _ in 0..5 {
            let key = new_key();
            let calls = [0, 1, 2, 0].map(|at| {
                let address = fleet.instances[at].address();
                let call = publish(&key);
                tokio::spawn(async move { call.send(address).await })
            });
            for call in calls {
                let answer = call.await.unwrap();
                assert_told(&answer, Outcome::Answered, None);
                judge.told.entry(key.clone()).or_default().push(answer);
            }
        }
    }

    lost_answers_of_the_log_cost_nothing(fleet, judge): 2, "", {
        fleet.platform.switch(|it| it.lost_answers = 3);
        for _ in 0..3 {
            let key = new_key();
            let first = judge.publish(&fleet, 0, &key).await;
            let second = judge.publish(&fleet, 1, &key).await;
            assert_told(&first, Outcome::Answered, None);
            assert_told(&second, Outcome::Answered, None);
        }
    }

    without_the_platform_a_key_is_unknown_and_a_ticket_runs(fleet, judge): 2, "", {
        let before = ticket(&fleet, 0).await;
        fleet.platform.refuse().await;
        let key = new_key();
        let refused = judge.publish(&fleet, 0, &key).await;
        assert_told(&refused, Outcome::Unknown, Some(Reason::LogUnavailable));
        assert_eq!(runs(&fleet, &key), 0);
        let during = ticket(&fleet, 1).await;
        for key in [&before, &during] {
            let first = judge.publish(&fleet, 1, key).await;
            assert_told(&first, Outcome::Answered, None);
            let second = judge.publish(&fleet, 0, key).await;
            assert_eq!(first.body, second.body);
        }
    }

    an_instance_cut_from_the_log_denies_nothing(fleet, judge): 2, "", {
        fleet.platform_proxies[1].refuse().await;
        let key = new_key();
        let first = judge.publish(&fleet, 0, &key).await;
        assert_told(&first, Outcome::Answered, None);
        let second = judge.publish(&fleet, 1, &key).await;
        assert_told(&second, Outcome::Unknown, Some(Reason::LogUnavailable));
        fleet.platform_proxies[1].heal().await;
        eventually("the answer is found", async || {
            let third = judge.publish(&fleet, 1, &key).await;
            third.outcome() == Some(Outcome::Answered)
        })
        .await;
    }

    an_owner_that_is_killed_leaves_it_unknown(fleet, judge): 2, "", {
        fleet.services[0].switch(|it| it.hold = true);
        for is_ticket in [false, true] {
            let key = if is_ticket { ticket(&fleet, 0).await } else { new_key() };
            let address = fleet.instances[0].address();
            let call = publish(&key);
            let first = tokio::spawn(async move { call.send(address).await });
            runs_once(&fleet, &key).await;
            fleet.instances[0].kill();
            assert_eq!(first.await.unwrap().outcome(), None);
            let second = judge.publish(&fleet, 1, &key).await;
            assert_told(&second, Outcome::Unknown, Some(Reason::OwnerUnreachable));
            fleet.restart(0).await.unwrap();
            meet(&fleet).await;
            for at in [0, 1] {
                let third = judge.publish(&fleet, at, &key).await;
                assert_told(&third, Outcome::Unknown, Some(Reason::OwnerUnreachable));
            }
        }
    }

    a_frozen_owner_answers_when_it_goes_on(fleet, judge): 2, "", {
        fleet.services[0].switch(|it| it.hold = true);
        let key = new_key();
        let address = fleet.instances[0].address();
        let call = publish(&key);
        let first = tokio::spawn(async move { call.send(address).await });
        runs_once(&fleet, &key).await;
        fleet.instances[0].freeze();
        let call = publish(&key).deadline_ms(SHORT_MS);
        let second = judge.send(&fleet, 1, &key, call).await;
        assert_told(&second, Outcome::Unknown, Some(Reason::OwnerUnreachable));
        fleet.instances[0].thaw();
        fleet.services[0].switch(|it| it.hold = false);
        assert_told(&first.await.unwrap(), Outcome::Answered, None);
        let third = judge.publish(&fleet, 1, &key).await;
        assert_told(&third, Outcome::Answered, None);
    }

    a_caller_that_left_finds_its_answer(fleet, judge): 2, "", {
        fleet.services[0].switch(|it| it.hold = true);
        let key = new_key();
        let address = fleet.instances[0].address();
        let call = publish(&key);
        let first = tokio::spawn(async move { call.send(address).await });
        runs_once(&fleet, &key).await;
        first.abort();
        eventually("it is noticed", async || {
            let left = fleet.instances[0].counter("tanagergauge_refusals_total", "caller_left");
            left.await == 1
        })
        .await;
        fleet.services[0].switch(|it| it.hold = false);
        let again = judge.publish(&fleet, 1, &key).await;
        assert_told(&again, Outcome::Answered, None);
    }

    a_refusal_is_final_at_every_instance(fleet, judge): 2, "", {
        fleet.services[0].switch(|it| it.refuses = true);
        let key = new_key();
        let first = judge.publish(&fleet, 0, &key).await;
        assert_eq!(first.outcome(), Some(Outcome::NotRun), "{first:?}");
        fleet.services[0].switch(|it| it.refuses = false);
        let second = judge.publish(&fleet, 1, &key).await;
        assert_eq!(second.outcome(), Some(Outcome::NotRun), "{second:?}");
        let new = judge.publish(&fleet, 1, &new_key()).await;
        assert_told(&new, Outcome::Answered, None);
    }

    another_body_or_account_gets_no_answer(fleet, judge): 2, "", {
        let key = new_key();
        let ticket = ticket(&fleet, 0).await;
        for key in [&key, &ticket] {
            let first = judge.publish(&fleet, 0, key).await;
            assert_told(&first, Outcome::Answered, None);
            let body = Call::service(PUBLISH_CLASS, "publish", "cue 13").key(key);
            let other = judge.send(&fleet, 1, key, body).await;
            assert_told(&other, Outcome::Unknown, Some(Reason::KeyReused));
        }
        let call = publish(&ticket).token(OTHER_TOKEN);
        let stranger = call.send(fleet.instances[1].address()).await;
        assert_told(&stranger, Outcome::NotRun, Some(Reason::KeyReused));
        assert_eq!(stranger.status, 403);
    }

    an_old_key_is_not_run(fleet, judge): 1, "idempotency: { max_age_ms: 60000 }", {
        let old = "0190a0c0-1234-7abc-8def-0123456789ab";
        let answer = judge.publish(&fleet, 0, old).await;
        assert_told(&answer, Outcome::Unknown, Some(Reason::KeyExpired));
        assert_eq!(runs(&fleet, old), 0);
        let early = "ff90a0c0-1234-7abc-8def-0123456789ab";
        let answer = judge.publish(&fleet, 0, early).await;
        assert_told(&answer, Outcome::NotRun, Some(Reason::KeyFromFuture));
    }

    a_claim_that_aged_out_is_not_claimed_anew(fleet, judge): 2, "", {
        let key = new_key();
        let first = judge.publish(&fleet, 0, &key).await;
        assert_told(&first, Outcome::Answered, None);
        fleet.instances[0].kill();
        fleet.instances[1].kill();
        fleet.platform.trim("claims-0", u64::MAX);
        fleet.restart(0).await.unwrap();
        fleet.restart(1).await.unwrap();
        meet(&fleet).await;
        for at in [0, 1] {
            let again = judge.publish(&fleet, at, &key).await;
            assert_eq!(again.outcome(), Some(Outcome::Unknown), "{again:?}");
        }
    }

    a_forged_ticket_is_refused(fleet, judge): 1, "", {
        let mut forged = ticket(&fleet, 0).await;
        let last = forged.pop().unwrap();
        forged.push(if last == 'A' { 'B' } else { 'A' });
        for key in [forged.as_str(), "cue-12"] {
            let answer = judge.publish(&fleet, 0, key).await;
            assert_told(&answer, Outcome::NotRun, Some(Reason::KeyMalformed));
        }
    }

    a_full_table_gives_no_tickets(fleet, judge): 1, "idempotency: { table_keys: 2 }", {
        let tickets = [ticket(&fleet, 0).await, ticket(&fleet, 0).await];
        let call = Call::new(Method::POST, "/v1/tickets").token(TOKEN);
        let refused = call.send(fleet.instances[0].address()).await;
        assert_told(&refused, Outcome::NotRun, Some(Reason::KeyTableFull));
        let claimed = judge.publish(&fleet, 0, &new_key()).await;
        assert_told(&claimed, Outcome::Unknown, Some(Reason::KeyTableFull));
        for key in &tickets {
            let answer = judge.publish(&fleet, 0, key).await;
            assert_told(&answer, Outcome::Answered, None);
        }
    }

    a_cut_to_the_log_on_one_side_runs_nothing_twice(fleet, judge): 3, "", {
        fleet.services[0].switch(|it| it.delay_ms = 50);
        fleet.platform_proxies[0].switch(|it| it.cut_answer_after_bytes = Some(0));
        fleet.platform_proxies[1].switch(|it| it.delay_ms = 100);
        for round in 0..6 {
            let key = new_key();
            for at in [0, 1, 2] {
                let call = publish(&key).deadline_ms(SHORT_MS);
                judge.send(&fleet, (at + round) % 3, &key, call).await;
            }
        }
        fleet.platform_proxies[0].heal().await;
        tokio::time::sleep(Duration::from_millis(SHORT_MS)).await;
    }
}
