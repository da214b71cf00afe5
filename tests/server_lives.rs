//! Servers that restart under their ID: what is known of one incarnation must not be carried over
//! to another.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use emberturn::decide::lives::{
    IncarnationSource, IncarnationUpdate, LIST_LAG, RestartCheckQueue, ServerIncarnation, Timestamp,
};
use emberturn::decide::loads::{LoadPool, LoadSample};
use emberturn::ids::{BackendId, Incarnation, ServerKey, ServiceName, Term};
use emberturn::relay::call::{ServerLoad, ServerReport};
use emberturn::relay::known::KnownServer;
use emberturn::relay::list::{
    ContentHash, IncarnationReport, ListIndex, ListPart, ListVersion, ListedServer, Server,
};
use emberturn::relay::list_registry::ListRegistry;
use emberturn::relay::servers::ServerTable;
use emberturn::units::{Millis, UnixMillis};
use platform::{Act, PATIENCE, Reply, StandIn, Tells, TestRelay, events};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const NONE: Incarnation = Incarnation(0);

/// An incarnation that started before any test knew the server.
fn former() -> Incarnation {
    Incarnation(UnixMillis::now().0 - 60_000)
}

/// An incarnation that starts after a test has first seen its servers.
fn later() -> Incarnation {
    Incarnation(UnixMillis::now().0 + 5_000)
}

fn addr(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

fn server(leaving: bool) -> Server {
    Server {
        id: "i-1".parse().unwrap(),
        service: "svc".parse().unwrap(),
        addr: addr(1),
        data_centre: "here".parse().unwrap(),
        release: "v1".parse().unwrap(),
        slots: 8,
        leaving,
        leaves_in: None,
        spot: false,
    }
}

fn key(incarnation: Incarnation) -> ServerKey {
    ServerKey { id: server(false).id, life: incarnation }
}

fn incarnation_report(incarnation: Incarnation) -> IncarnationReport {
    IncarnationReport { server: key(incarnation), addr: addr(1) }
}

/// Applies a list that shows the server as some leader knows it.
fn apply_list(table: &ServerTable, place: u64, server: Server, incarnation: Incarnation) {
    let listed = [ListedServer { server, incarnation }];
    let (print, id) = (ContentHash::of(&listed), "svc/here/0/0".parse().unwrap());
    let version = ListVersion { term: Term(1), sequence: place };
    table.apply_index(ListIndex::new(version, vec![(id, print)]));
    let id = "svc/here/0/0".parse().unwrap();
    table.apply_parts(vec![ListPart::new(id, print, &listed, Millis(0))]);
}

fn known(table: &ServerTable) -> Arc<KnownServer> {
    table.find(&server(false).id).unwrap()
}

fn report(incarnation: Incarnation, running: u32, leaving: bool) -> ServerReport {
    let load = Some(ServerLoad { running, waiting: 0 });
    ServerReport { incarnation, load, leaving: Some(leaving), time_left: None }
}

/// A message about a server that reaches a box.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// The leader's list shows the server, leaving or not.
    List(bool),
    /// The server reports on itself.
    Report(u32, bool),
    /// The leader reports the server's load.
    Load(u32),
    /// Requests to the server failed, and its address answered for another server.
    Failed,
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        any::<bool>().prop_map(Message::List),
        (0_u32..9, any::<bool>()).prop_map(|(running, leaving)| Message::Report(running, leaving)),
        (0_u32..9).prop_map(Message::Load),
        Just(Message::Failed),
    ]
}

/// A box that was told by a server itself which incarnation it is in.
struct TestBox {
    table: ServerTable,
    first: Arc<KnownServer>,
    place: u64,
}

impl TestBox {
    fn new(incarnation: Incarnation) -> Self {
        let table = ServerTable::default();
        apply_list(&table, 1, server(false), NONE);
        table.apply_incarnation(&known(&table), incarnation);
        Self { first: known(&table), table, place: 1 }
    }

    fn receive(&mut self, incarnation: Incarnation, message: Message) {
        match message {
            Message::List(leaving) => {
                self.place += 1;
                apply_list(&self.table, self.place, server(leaving), incarnation);
            }
            Message::Report(running, leaving) => {
                self.table.apply_report(&self.first, &report(incarnation, running, leaving));
            }
            Message::Load(requests) => {
                let (server, age) = (server(false).id, Millis(0));
                self.table.apply_loads(&[LoadSample { server, incarnation, requests, age }]);
            }
            Message::Failed if incarnation == self.first.incarnation() => {
                while !self.first.state.fail() {}
                self.first.mark_gone();
                self.first.state.fail_route("r");
                self.first.state.report(7, 0, Duration::ZERO);
            }
            Message::Failed => {}
        }
    }

    /// All that the box knows of the server now.
    fn snapshot(&self) -> (Incarnation, bool, bool, bool, Option<u32>) {
        let known = known(&self.table);
        let load = known.state.load().map(|load| load.running);
        let avoided = known.state.is_avoided("r", Instant::now());
        (known.incarnation(), known.is_open(), known.state.is_ejected(), avoided, load)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Whatever messages of an earlier incarnation arrive, and whenever: the box's knowledge of the
    /// later one is the same as without them.
    #[test]
    fn words_of_an_earlier_life_change_nothing_of_a_later_one(
        messages in prop::collection::vec((any::<bool>(), message()), 1..12),
    ) {
        let (earlier, later) = (former(), later());
        let (mut both, mut one) = (TestBox::new(earlier), TestBox::new(earlier));
        for test_box in [&mut both, &mut one] {
            test_box.receive(later, Message::Report(0, false));
        }
        for (is_later, message) in messages {
            both.receive(if is_later { later } else { earlier }, message);
            if is_later {
                one.receive(later, message);
            }
            prop_assert_eq!(both.snapshot(), one.snapshot());
        }
    }

    /// The same where the box learns of the later incarnation from one of the messages: from then
    /// on.
    #[test]
    fn later_life_is_open_and_knows_nothing(messages in prop::collection::vec(message(), 0..8)) {
        let (earlier, later) = (former(), later());
        let mut test_box = TestBox::new(earlier);
        messages.into_iter().for_each(|message| test_box.receive(earlier, message));
        test_box.receive(later, Message::List(false));
        prop_assert_eq!(test_box.snapshot(), (later, true, false, false, None));
    }

    /// Leaders and boxes that learn of incarnations in any order arrive at the same one.
    #[test]
    fn lives_are_heard_in_any_order(
        lives in prop::collection::vec(1_u64..20, 1..6),
        seed in any::<u64>(),
    ) {
        let base = UnixMillis::now();
        let timestamp = |millis| Timestamp {
            monotonic: Instant::now(),
            unix: UnixMillis(base.0 + millis),
        };
        let mut other = lives.clone();
        other.sort_by_key(|incarnation| incarnation.wrapping_mul(seed | 1));
        let newest = *lives.iter().max().unwrap();
        for lives in [&lives, &other] {
            let mut leader = ListRegistry::default();
            leader.apply_listing(Term(1), vec![server(false)], timestamp(0));
            for incarnation in lives {
                let report = incarnation_report(Incarnation(base.0 + incarnation * 2_000));
                leader.apply_incarnation(&report, timestamp(50_000));
            }
            leader.rebuild(Term(1), timestamp(50_000));
            let keys: Vec<_> = leader.keys().collect();
            prop_assert_eq!(keys, [key(Incarnation(base.0 + newest * 2_000))]);
        }
    }

    /// The pooled load of a server is the newest load of its latest incarnation, in whatever order
    /// reports arrive.
    #[test]
    fn pooled_load_is_of_the_latest_life(
        messages in prop::collection::vec((0_u64..3, 0_u64..1_000, 0_u32..40), 1..12),
        random in 0.0..1.0_f64,
    ) {
        let now = Instant::now() + Duration::from_secs(10);
        let mut pool = LoadPool::default();
        for (incarnation, age, requests) in &messages {
            let (incarnation, age) = (Incarnation(*incarnation), Millis(*age));
            let sample = LoadSample { server: server(false).id, incarnation, requests: *requests, age };
            pool.record_samples(vec![sample], now);
        }
        let key = |(incarnation, age, _): &(u64, u64, u32)| (*incarnation, 1_000 - age);
        let best = messages.iter().map(key).max().unwrap();
        let drawn = pool.sample(&[&server(false).id], now, random);
        prop_assert_eq!((drawn[0].incarnation.0, 1_000 - drawn[0].age.0), best);
    }
}

#[test]
fn first_life_told_is_the_one_that_is_known() {
    let table = ServerTable::default();
    apply_list(&table, 1, server(true), NONE);
    let before = known(&table);
    while !before.state.fail() {}
    assert_eq!(table.apply_incarnation(&before, former()), IncarnationUpdate::Identified);
    let after = known(&table);
    assert!(Arc::ptr_eq(&before.state, &after.state));
    assert!(!after.is_open() && after.state.is_ejected() && !after.state.is_over());
}

#[test]
fn first_life_told_that_began_since_is_another() {
    let table = ServerTable::default();
    apply_list(&table, 1, server(true), NONE);
    let before = known(&table);
    assert_eq!(table.apply_incarnation(&before, later()), IncarnationUpdate::Restarted);
    assert!(known(&table).is_open() && before.state.is_over());
}

#[test]
fn life_that_no_server_can_be_in_is_not_believed() {
    let mut incarnation = ServerIncarnation::first_seen_at(UnixMillis(1_000));
    let update =
        incarnation.update(Incarnation(u64::MAX), IncarnationSource::Server, UnixMillis(1_000));
    assert_eq!((update, incarnation.id()), (IncarnationUpdate::Rejected, NONE));
}

#[test]
fn report_of_an_earlier_life_that_arrives_late_changes_nothing() {
    let (earlier, later) = (former(), later());
    let test_box = TestBox::new(earlier);
    let asked = test_box.first.clone();
    test_box.table.apply_incarnation(&asked, later);
    assert_eq!(
        test_box.table.apply_report(&asked, &report(earlier, 8, true)),
        IncarnationUpdate::Outdated
    );
    assert_eq!(test_box.snapshot(), (later, true, false, false, None));
    // A report that names no incarnation belongs to the one that was asked.
    test_box.table.apply_report(&asked, &report(NONE, 8, true));
    assert_eq!(test_box.snapshot(), (later, true, false, false, None));
}

#[test]
fn servers_own_word_counts_against_a_notice_that_the_list_no_longer_shows() {
    let table = ServerTable::default();
    apply_list(&table, 1, server(true), NONE);
    table.apply_report(&known(&table), &report(former(), 0, false));
    assert!(!known(&table).is_open(), "the list still shows it leaving");
    apply_list(&table, 2, server(false), NONE);
    table.apply_report(&known(&table), &report(former(), 0, false));
    assert!(known(&table).is_open());
}

#[test]
fn box_tells_the_lives_that_the_leaders_list_does_not_show() {
    let (earlier, later) = (former(), later());
    let test_box = TestBox::new(earlier);
    assert_eq!(test_box.table.unreported_incarnations(), [incarnation_report(earlier)]);
    apply_list(&test_box.table, 2, server(false), earlier);
    assert!(test_box.table.unreported_incarnations().is_empty());
    test_box.table.apply_incarnation(&test_box.first, later);
    assert_eq!(test_box.table.unreported_incarnations(), [incarnation_report(later)]);
    apply_list(&test_box.table, 3, server(false), later);
    assert!(test_box.table.unreported_incarnations().is_empty());
    // Another leader knows no incarnation.
    apply_list(&test_box.table, 4, server(false), NONE);
    assert_eq!(test_box.table.unreported_incarnations(), [incarnation_report(later)]);
}

#[test]
fn words_of_a_leader_that_knows_no_lives_are_not_of_a_new_one() {
    let later = later();
    let mut test_box = TestBox::new(former());
    test_box.receive(later, Message::Report(0, false));
    test_box.receive(NONE, Message::List(true));
    test_box.receive(NONE, Message::Load(9));
    assert_eq!(test_box.snapshot(), (later, true, false, false, Some(0)));
    // Once it knows the incarnation, its notice applies to it.
    test_box.receive(later, Message::List(true));
    assert!(!known(&test_box.table).is_open());
}

/// What a leader announces about the server: its incarnation, and whether it is leaving.
fn shown(leader: &mut ListRegistry) -> (Incarnation, bool) {
    let index = leader.index(&"box".parse().unwrap());
    let parts: Vec<_> = index.parts.iter().map(|(part, _)| part.clone()).collect();
    let contents = leader.list_parts(&parts, Instant::now());
    let listed = contents[0].listed_servers().next().unwrap();
    (listed.incarnation, listed.server.leaving)
}

/// A notice that the list shows when a server has just restarted belongs to the former incarnation,
/// unless the list goes on showing it.
#[test]
fn notice_is_of_a_new_life_only_if_the_list_goes_on_showing_it() {
    let start = Instant::now();
    let base = UnixMillis::now();
    let timestamp = |millis: u64| Timestamp {
        monotonic: start + Duration::from_millis(millis),
        unix: UnixMillis(base.0 + millis),
    };
    let lag = LIST_LAG.as_millis() as u64;
    let began = Incarnation(base.0 + 10_000);
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), vec![server(true)], timestamp(0));
    assert_eq!(shown(&mut leader), (NONE, true));
    leader.apply_incarnation(&incarnation_report(began), timestamp(10_500));
    leader.apply_listing(Term(1), vec![server(true)], timestamp(10_600));
    assert_eq!(shown(&mut leader), (began, false));
    let mut other = ListRegistry::default();
    other.apply_listing(Term(2), vec![server(true)], timestamp(10_000 + lag - 1));
    other.apply_incarnation(&incarnation_report(began), timestamp(10_000 + lag - 1));
    other.rebuild(Term(2), timestamp(10_000 + lag - 1));
    assert_eq!(shown(&mut other), (began, false), "a new leader");
    for leader in [&mut leader, &mut other] {
        leader.apply_listing(Term(2), vec![server(true)], timestamp(10_000 + lag));
        assert_eq!(shown(leader), (began, true));
    }
}

/// A leader whose clock is behind delays a notice no longer than the list lags.
#[test]
fn clock_that_is_behind_holds_no_notice_back_for_long() {
    let (start, base) = (Instant::now(), UnixMillis::now());
    let timestamp = |time: Duration| Timestamp {
        monotonic: start + time,
        unix: UnixMillis(base.0 - 3_600_000),
    };
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), vec![server(false)], timestamp(Duration::ZERO));
    leader.apply_incarnation(&incarnation_report(Incarnation(base.0)), timestamp(Duration::ZERO));
    leader.apply_listing(Term(1), vec![server(true)], timestamp(LIST_LAG));
    assert_eq!(shown(&mut leader), (Incarnation(base.0), true));
}

#[test]
fn word_from_another_address_is_of_another_life() {
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), vec![server(false)], Instant::now());
    leader.apply_incarnation(&incarnation_report(former()), Instant::now());
    let moved = Server { addr: addr(2), ..server(false) };
    leader.apply_listing(Term(1), vec![moved.clone()], Instant::now());
    assert_eq!(
        leader.apply_incarnation(&incarnation_report(former()), Instant::now()),
        IncarnationUpdate::Outdated
    );
    assert_eq!(shown(&mut leader), (NONE, false));
    let mut new = ListRegistry::default();
    new.apply_listing(Term(2), vec![moved.clone()], Instant::now());
    assert_eq!(
        new.apply_incarnation(&incarnation_report(former()), Instant::now()),
        IncarnationUpdate::Outdated
    );
    new.rebuild(Term(2), Instant::now());
    assert_eq!(shown(&mut new), (NONE, false));
    let table = ServerTable::default();
    apply_list(&table, 1, server(true), former());
    apply_list(&table, 2, moved, NONE);
    assert!(known(&table).is_open());
}

#[test]
fn doubted_server_is_asked_once_in_a_while_and_not_for_ever() {
    let (mut checks, start) = (RestartCheckQueue::default(), Instant::now());
    let id: BackendId = server(false).id;
    assert!(checks.request(&id, start, 0.0) && !checks.request(&id, start, 0.0));
    let mut asked = Vec::new();
    for step in 0..3_000 {
        let now = start + Duration::from_millis(100 * step);
        if !checks.take_due(now).is_empty() {
            asked.push(now);
        }
    }
    assert!(asked.windows(2).all(|pair| pair[1] - pair[0] >= Duration::from_secs(1)));
    assert_eq!((asked.len(), checks.next_due()), (8, None));
    assert!(checks.request(&id, start + Duration::from_secs(300), 0.0));
    checks.resolve(&id);
    assert_eq!(checks.next_due(), None);
}

#[test]
fn server_that_tells_no_life_is_rarely_asked() {
    let (mut checks, start) = (RestartCheckQueue::default(), Instant::now());
    let id: BackendId = server(false).id;
    checks.request(&id, start, 0.0);
    assert_eq!(checks.take_due(start), std::slice::from_ref(&id));
    checks.resolve_unknown(&id, start);
    checks.request(&id, start, 0.0);
    assert_eq!(checks.next_due(), Some(start + Duration::from_secs(30)));
}

#[test]
fn leaders_last_loads_name_no_life_that_is_over() {
    let mut test_box = TestBox::new(former());
    let (load, service) = (Message::Load(3), "svc".parse().unwrap());
    test_box.receive(test_box.first.incarnation(), load);
    assert_eq!(test_box.table.with_recent_loads(&service).all.len(), 1);
    test_box.receive(later(), Message::List(false));
    assert!(test_box.table.with_recent_loads(&service).all.is_empty());
    test_box.receive(test_box.snapshot().0, load);
    test_box.table.apply_incarnation(&known(&test_box.table), Incarnation(later().0 + 5_000));
    assert!(test_box.table.with_recent_loads(&service).all.is_empty());
}

fn listed(server: &StandIn, leaving: bool) -> Server {
    let leaves_in = leaving.then_some(Millis(2_500));
    Server { leaving, leaves_in, ..server.listed("svc") }
}

#[tokio::test]
async fn server_that_starts_again_while_set_aside_is_open_at_once() {
    let (earlier, later) = (former().0, later().0);
    let any = "127.0.0.1:0".parse().unwrap();
    let first = StandIn::start_at("i-1", any, Tells::Life(earlier), &[Act::Close]).await;
    let relay = TestRelay::start(&[&first]).await;
    assert_eq!(relay.ask("POST", "once").await.status, 502);
    let before = relay.wait_life("i-1", earlier).await;
    relay.set_aside("i-1");
    assert!(before.state.is_ejected());
    let addr = first.kill().await;
    let again = StandIn::start_at("i-1", addr, Tells::Life(later), &[Act::Answer]).await;
    // The effect of a connection that breaks or is refused.
    relay.relay.servers.mark_suspect(&before);
    let after = relay.wait_life("i-1", later).await;
    assert!(after.is_open() && !after.state.is_ejected());
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    assert_eq!(again.seen().len(), 1);
}

#[tokio::test]
async fn connection_that_breaks_makes_a_box_ask_in_which_life_the_server_is() {
    let (earlier, later) = (former().0, later().0);
    let any = "127.0.0.1:0".parse().unwrap();
    let mut first = StandIn::start_at("i-1", any, Tells::Life(earlier), &[Act::Silent]).await;
    let relay = TestRelay::start(&[&first]).await;
    relay.relay.servers.mark_suspect(&relay.known("i-1"));
    relay.wait_life("i-1", earlier).await;
    let asking = relay.ask("POST", "once");
    let killing = async {
        first.wait_seen(1).await;
        let addr = first.kill().await;
        StandIn::start_at("i-1", addr, Tells::Life(later), &[Act::Answer]).await
    };
    let (reply, again) = tokio::join!(asking, killing);
    assert_eq!(reply.status, 502, "it may have run");
    relay.wait_life("i-1", later).await;
    assert_eq!(again.seen().len(), 0, "it was sent twice");
}

#[tokio::test]
async fn server_that_starts_again_while_leaving_takes_work_at_once() {
    let (earlier, later) = (former().0, later().0);
    let any = "127.0.0.1:0".parse().unwrap();
    let first = StandIn::start_at("i-1", any, Tells::Life(earlier), &[Act::Answer]).await;
    let relay = TestRelay::start(&[&first]).await;
    relay.list_as(vec![listed(&first, true)]);
    assert_eq!(relay.ask("POST", "once").await.status, 503);
    let addr = first.kill().await;
    let again = StandIn::start_at("i-1", addr, Tells::Life(later), &[Act::Answer]).await;
    relay.list_as(vec![listed(&again, false)]);
    relay.wait_life("i-1", later).await;
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    assert_eq!(again.seen().len(), 1);
}

/// Starts a caller of a stream and waits until it has received the first events.
async fn caller_with_events(relay: &TestRelay, route: &str, headers: &str) -> (TcpStream, Vec<u8>) {
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 8000\r\n\
         Api-Key: key-a\r\n{headers}Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut had = Vec::new();
    while !String::from_utf8_lossy(&had).contains("piece 2") {
        assert!(stream.read_buf(&mut had).await.unwrap() > 0, "it ended");
    }
    (stream, had)
}

/// Reads the rest of that caller's answer.
async fn rest((mut stream, mut had): (TcpStream, Vec<u8>)) -> Reply {
    let reading = stream.read_to_end(&mut had);
    let _ = tokio::time::timeout(PATIENCE, reading).await.expect("no end in time");
    Reply::parse(&String::from_utf8_lossy(&had))
}

/// Where packets are dropped no connection breaks: the report of the later incarnation is the only
/// sign.
#[tokio::test]
async fn stream_of_a_life_that_is_over_goes_on_elsewhere() {
    let first = StandIn::start("i-1", &[Act::UntilMoved(2)]).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&first]).await;
    let caller = caller_with_events(&relay, "resumable", "").await;
    relay.tell_life(&first, later().0);
    relay.list(&[&first, &second]);
    let reply = rest(caller).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
    assert_eq!(second.seen()[0].headers["last-event-id"], "2");
}

#[tokio::test]
async fn stream_of_a_life_that_is_over_and_may_run_once_is_cut_and_does_not_look_whole() {
    let first = StandIn::start("i-1", &[Act::UntilMoved(2)]).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&first]).await;
    let caller = caller_with_events(&relay, "stream", "").await;
    relay.tell_life(&first, later().0);
    relay.list(&[&first, &second]);
    let reply = rest(caller).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), false));
    assert_eq!((first.seen().len(), second.seen().len()), (1, 0));
}

#[tokio::test]
async fn unrepeatable_request_of_a_life_that_is_over_is_answered_truthfully_and_sent_once() {
    let mut first = StandIn::start("i-1", &[Act::Silent]).await;
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&first]).await;
    let restarting = async {
        first.wait_seen(1).await;
        relay.tell_life(&first, later().0);
        relay.list(&[&first, &second]);
    };
    let began = Instant::now();
    let (reply, ()) = tokio::join!(relay.ask("POST", "once"), restarting);
    assert_eq!(reply.status, 502, "after {:?}", began.elapsed());
    assert_eq!((first.seen().len(), second.seen().len()), (1, 0));
}

#[tokio::test]
async fn stream_of_a_server_that_is_listed_at_another_address_goes_on_elsewhere() {
    let first = StandIn::start("i-1", &[Act::UntilMoved(2)]).await;
    let again = StandIn::start("i-1", &[Act::Answer]).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&first]).await;
    let caller = caller_with_events(&relay, "resumable", "").await;
    relay.list(&[&again, &second]);
    let reply = rest(caller).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    relay.list(&[&again]);
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    assert_eq!((first.seen().len(), second.seen().len(), again.seen().len()), (1, 1, 1));
}

/// The source of a move has restarted: it does not know the run, and reports its incarnation.
#[tokio::test]
async fn stream_whose_server_starts_again_in_mid_move_goes_on_elsewhere() {
    let (earlier, later) = (former().0, later().0);
    let any = "127.0.0.1:0".parse().unwrap();
    let first =
        StandIn::start_at("i-1", any, Tells::LifeInMoves(later), &[Act::UntilMoved(2)]).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&first]).await;
    relay.tell_life(&first, earlier);
    relay.list(&[&first]);
    let size = "Token-Usage: 1000,100000\r\n";
    let caller = caller_with_events(&relay, "resumable", size).await;
    relay.list_as(vec![listed(&first, true), second.listed("svc")]);
    let reply = rest(caller).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    assert!(!second.seen()[0].headers.contains_key("kv-from"));
    let known = relay.wait_life("i-1", later).await;
    assert!(known.is_open());
}

/// Two boxes learn of two incarnations in opposite order, from the leader's list and from the
/// server itself.
#[test]
fn two_boxes_that_hear_of_lives_in_opposite_order_know_the_same() {
    let (earlier, later) = (former(), later());
    let (mut one, mut other) = (TestBox::new(NONE), TestBox::new(NONE));
    one.receive(earlier, Message::List(true));
    one.receive(later, Message::Report(3, false));
    other.receive(later, Message::Report(3, false));
    other.receive(earlier, Message::List(true));
    assert_eq!(one.snapshot(), other.snapshot());
    assert_eq!(one.snapshot(), (later, true, false, false, Some(3)));
    let service: ServiceName = "svc".parse().unwrap();
    assert_eq!(one.table.for_service(&service)[0].incarnation(), later);
}

/// Applies a list without any server.
fn apply_empty_list(table: &ServerTable, place: u64) {
    let version = ListVersion { term: Term(1), sequence: place };
    table.apply_index(ListIndex::new(version, Vec::new()));
}

#[test]
fn server_that_is_back_in_a_boxs_part_of_the_list_is_asked_only_if_its_life_may_be_another() {
    let incarnation = former();
    // Its incarnation was never named; the list names the known one; the list no longer names one.
    for (listed, named, asks) in
        [(NONE, false, false), (incarnation, true, false), (NONE, true, true)]
    {
        let table = ServerTable::default();
        apply_list(&table, 1, server(false), listed);
        if named {
            table.apply_incarnation(&known(&table), incarnation);
        }
        apply_empty_list(&table, 2);
        apply_list(&table, 3, server(false), listed);
        assert_eq!(table.has_suspects(), asks, "listed as {listed}, named {named}");
    }
}
