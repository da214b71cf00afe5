//! Servers that start again under their id: what is known of one life is not believed of another.

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

/// A life that began before any test knew a server.
fn former() -> Incarnation {
    Incarnation(UnixMillis::now().0 - 60_000)
}

/// A life that begins after a test has first known its servers.
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

fn key(life: Incarnation) -> ServerKey {
    ServerKey { id: server(false).id, life }
}

fn told(life: Incarnation) -> IncarnationReport {
    IncarnationReport { server: key(life), addr: addr(1) }
}

/// Has a box take a list with the server as some leader knows it.
fn take(book: &ServerTable, place: u64, server: Server, life: Incarnation) {
    let listed = [ListedServer { server, incarnation: life }];
    let (print, id) = (ContentHash::of(&listed), "svc/here/0/0".parse().unwrap());
    let version = ListVersion { term: Term(1), sequence: place };
    book.apply_index(ListIndex::new(version, vec![(id, print)]));
    let id = "svc/here/0/0".parse().unwrap();
    book.apply_parts(vec![ListPart::new(id, print, &listed, Millis(0))]);
}

fn known(book: &ServerTable) -> Arc<KnownServer> {
    book.find(&server(false).id).unwrap()
}

fn report(life: Incarnation, running: u32, leaving: bool) -> ServerReport {
    let load = Some(ServerLoad { running, waiting: 0 });
    ServerReport { incarnation: life, load, leaving: Some(leaving), time_left: None }
}

/// A word of a server that reaches a box.
#[derive(Debug, Clone, Copy)]
enum Word {
    /// The leader's list shows it, leaving or not.
    List(bool),
    /// It says so itself.
    Report(u32, bool),
    /// The leader tells its load.
    Load(u32),
    /// Requests that were sent to it failed, and its address answered for another.
    Failed,
}

fn word() -> impl Strategy<Value = Word> {
    prop_oneof![
        any::<bool>().prop_map(Word::List),
        (0_u32..9, any::<bool>()).prop_map(|(running, leaving)| Word::Report(running, leaving)),
        (0_u32..9).prop_map(Word::Load),
        Just(Word::Failed),
    ]
}

/// A box that has known a server in one life, `life`, which it was told by itself.
struct Hearer {
    book: ServerTable,
    first: Arc<KnownServer>,
    place: u64,
}

impl Hearer {
    fn new(life: Incarnation) -> Self {
        let book = ServerTable::default();
        take(&book, 1, server(false), NONE);
        book.apply_incarnation(&known(&book), life);
        Self { first: known(&book), book, place: 1 }
    }

    fn hear(&mut self, life: Incarnation, word: Word) {
        match word {
            Word::List(leaving) => {
                self.place += 1;
                take(&self.book, self.place, server(leaving), life);
            }
            Word::Report(running, leaving) => {
                self.book.apply_report(&self.first, &report(life, running, leaving));
            }
            Word::Load(requests) => {
                let (server, age) = (server(false).id, Millis(0));
                self.book.apply_loads(&[LoadSample { server, incarnation: life, requests, age }]);
            }
            Word::Failed if life == self.first.incarnation() => {
                while !self.first.state.fail() {}
                self.first.mark_gone();
                self.first.state.fail_route("r");
                self.first.state.report(7, 0, Duration::ZERO);
            }
            Word::Failed => {}
        }
    }

    /// All that is known of the server as it is now.
    fn sees(&self) -> (Incarnation, bool, bool, bool, Option<u32>) {
        let known = known(&self.book);
        let load = known.state.load().map(|load| load.running);
        let avoided = known.state.is_avoided("r", Instant::now());
        (known.incarnation(), known.is_open(), known.state.is_ejected(), avoided, load)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Whatever words of an earlier life arrive, and when: a box knows of the later one what it knew without.
    #[test]
    fn words_of_an_earlier_life_change_nothing_of_a_later_one(
        words in prop::collection::vec((any::<bool>(), word()), 1..12),
    ) {
        let (earlier, later) = (former(), later());
        let (mut both, mut one) = (Hearer::new(earlier), Hearer::new(earlier));
        for hearer in [&mut both, &mut one] {
            hearer.hear(later, Word::Report(0, false));
        }
        for (is_later, word) in words {
            both.hear(if is_later { later } else { earlier }, word);
            if is_later {
                one.hear(later, word);
            }
            prop_assert_eq!(both.sees(), one.sees());
        }
    }

    /// The same where the later life is heard of among the words: from then on.
    #[test]
    fn later_life_is_open_and_knows_nothing(words in prop::collection::vec(word(), 0..8)) {
        let (earlier, later) = (former(), later());
        let mut hearer = Hearer::new(earlier);
        words.into_iter().for_each(|word| hearer.hear(earlier, word));
        hearer.hear(later, Word::List(false));
        prop_assert_eq!(hearer.sees(), (later, true, false, false, None));
    }

    /// Leaders and boxes that hear of lives in any order come to the same one.
    #[test]
    fn lives_are_heard_in_any_order(
        lives in prop::collection::vec(1_u64..20, 1..6),
        seed in any::<u64>(),
    ) {
        let base = UnixMillis::now();
        let moment = |millis| Timestamp { monotonic: Instant::now(), unix: UnixMillis(base.0 + millis) };
        let mut other = lives.clone();
        other.sort_by_key(|life| life.wrapping_mul(seed | 1));
        let newest = *lives.iter().max().unwrap();
        for lives in [&lives, &other] {
            let mut leader = ListRegistry::default();
            leader.apply_listing(Term(1), vec![server(false)], moment(0));
            for life in lives {
                leader.apply_incarnation(&told(Incarnation(base.0 + life * 2_000)), moment(50_000));
            }
            leader.rebuild(Term(1), moment(50_000));
            let keys: Vec<_> = leader.keys().collect();
            prop_assert_eq!(keys, [key(Incarnation(base.0 + newest * 2_000))]);
        }
    }

    /// The pooled load of a server is the newest that its latest life told, in whatever order words come.
    #[test]
    fn pooled_load_is_of_the_latest_life(
        words in prop::collection::vec((0_u64..3, 0_u64..1_000, 0_u32..40), 1..12),
        random in 0.0..1.0_f64,
    ) {
        let now = Instant::now() + Duration::from_secs(10);
        let mut pool = LoadPool::default();
        for (life, age, requests) in &words {
            let (life, age) = (Incarnation(*life), Millis(*age));
            let told = LoadSample { server: server(false).id, incarnation: life, requests: *requests, age };
            pool.record_samples(vec![told], now);
        }
        let best = words.iter().map(|(life, age, _)| (*life, 1_000 - age)).max().unwrap();
        let drawn = pool.sample(&[&server(false).id], now, random);
        prop_assert_eq!((drawn[0].incarnation.0, 1_000 - drawn[0].age.0), best);
    }
}

#[test]
fn first_life_told_is_the_one_that_is_known() {
    let book = ServerTable::default();
    take(&book, 1, server(true), NONE);
    let before = known(&book);
    while !before.state.fail() {}
    assert_eq!(book.apply_incarnation(&before, former()), IncarnationUpdate::Identified);
    let after = known(&book);
    assert!(Arc::ptr_eq(&before.state, &after.state));
    assert!(!after.is_open() && after.state.is_ejected() && !after.state.is_over());
}

#[test]
fn first_life_told_that_began_since_is_another() {
    let book = ServerTable::default();
    take(&book, 1, server(true), NONE);
    let before = known(&book);
    assert_eq!(book.apply_incarnation(&before, later()), IncarnationUpdate::Restarted);
    assert!(known(&book).is_open() && before.state.is_over());
}

#[test]
fn life_that_no_server_can_be_in_is_not_believed() {
    let mut life = ServerIncarnation::first_seen_at(UnixMillis(1_000));
    let heard = life.update(Incarnation(u64::MAX), IncarnationSource::Server, UnixMillis(1_000));
    assert_eq!((heard, life.id()), (IncarnationUpdate::Rejected, NONE));
}

#[test]
fn report_of_an_earlier_life_that_arrives_late_changes_nothing() {
    let (earlier, later) = (former(), later());
    let hearer = Hearer::new(earlier);
    let asked = hearer.first.clone();
    hearer.book.apply_incarnation(&asked, later);
    assert_eq!(
        hearer.book.apply_report(&asked, &report(earlier, 8, true)),
        IncarnationUpdate::Outdated
    );
    assert_eq!(hearer.sees(), (later, true, false, false, None));
    // One that names no life is of the life that was asked.
    hearer.book.apply_report(&asked, &report(NONE, 8, true));
    assert_eq!(hearer.sees(), (later, true, false, false, None));
}

#[test]
fn servers_own_word_counts_against_a_notice_that_the_list_no_longer_shows() {
    let book = ServerTable::default();
    take(&book, 1, server(true), NONE);
    book.apply_report(&known(&book), &report(former(), 0, false));
    assert!(!known(&book).is_open(), "the list still shows it leaving");
    take(&book, 2, server(false), NONE);
    book.apply_report(&known(&book), &report(former(), 0, false));
    assert!(known(&book).is_open());
}

#[test]
fn box_tells_the_lives_that_the_leaders_list_does_not_show() {
    let (earlier, later) = (former(), later());
    let hearer = Hearer::new(earlier);
    assert_eq!(hearer.book.unreported_incarnations(), [told(earlier)]);
    take(&hearer.book, 2, server(false), earlier);
    assert!(hearer.book.unreported_incarnations().is_empty());
    hearer.book.apply_incarnation(&hearer.first, later);
    assert_eq!(hearer.book.unreported_incarnations(), [told(later)]);
    take(&hearer.book, 3, server(false), later);
    assert!(hearer.book.unreported_incarnations().is_empty());
    // Another leader knows of none.
    take(&hearer.book, 4, server(false), NONE);
    assert_eq!(hearer.book.unreported_incarnations(), [told(later)]);
}

#[test]
fn words_of_a_leader_that_knows_no_lives_are_not_of_a_new_one() {
    let later = later();
    let mut hearer = Hearer::new(former());
    hearer.hear(later, Word::Report(0, false));
    hearer.hear(NONE, Word::List(true));
    hearer.hear(NONE, Word::Load(9));
    assert_eq!(hearer.sees(), (later, true, false, false, Some(0)));
    // Once it knows the life, its notice is of it.
    hearer.hear(later, Word::List(true));
    assert!(!known(&hearer.book).is_open());
}

/// What a leader tells of the server: its life, and whether it is leaving.
fn shown(leader: &mut ListRegistry) -> (Incarnation, bool) {
    let index = leader.index(&"box".parse().unwrap());
    let parts: Vec<_> = index.parts.iter().map(|(part, _)| part.clone()).collect();
    let contents = leader.list_parts(&parts, Instant::now());
    let listed = contents[0].listed_servers().next().unwrap();
    (listed.incarnation, listed.server.leaving)
}

/// A notice that the list shows when a server has just started again is of the former life, unless the list
/// goes on showing it.
#[test]
fn notice_is_of_a_new_life_only_if_the_list_goes_on_showing_it() {
    let start = Instant::now();
    let base = UnixMillis::now();
    let moment = |millis: u64| Timestamp {
        monotonic: start + Duration::from_millis(millis),
        unix: UnixMillis(base.0 + millis),
    };
    let lag = LIST_LAG.as_millis() as u64;
    let began = Incarnation(base.0 + 10_000);
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), vec![server(true)], moment(0));
    assert_eq!(shown(&mut leader), (NONE, true));
    leader.apply_incarnation(&told(began), moment(10_500));
    leader.apply_listing(Term(1), vec![server(true)], moment(10_600));
    assert_eq!(shown(&mut leader), (began, false));
    let mut other = ListRegistry::default();
    other.apply_listing(Term(2), vec![server(true)], moment(10_000 + lag - 1));
    other.apply_incarnation(&told(began), moment(10_000 + lag - 1));
    other.rebuild(Term(2), moment(10_000 + lag - 1));
    assert_eq!(shown(&mut other), (began, false), "a new leader");
    for leader in [&mut leader, &mut other] {
        leader.apply_listing(Term(2), vec![server(true)], moment(10_000 + lag));
        assert_eq!(shown(leader), (began, true));
    }
}

/// A leader whose clock is behind holds a notice back no longer than the list lags.
#[test]
fn clock_that_is_behind_holds_no_notice_back_for_long() {
    let (start, base) = (Instant::now(), UnixMillis::now());
    let moment = |time: Duration| Timestamp {
        monotonic: start + time,
        unix: UnixMillis(base.0 - 3_600_000),
    };
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), vec![server(false)], moment(Duration::ZERO));
    leader.apply_incarnation(&told(Incarnation(base.0)), moment(Duration::ZERO));
    leader.apply_listing(Term(1), vec![server(true)], moment(LIST_LAG));
    assert_eq!(shown(&mut leader), (Incarnation(base.0), true));
}

#[test]
fn word_from_another_address_is_of_another_life() {
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), vec![server(false)], Instant::now());
    leader.apply_incarnation(&told(former()), Instant::now());
    let moved = Server { addr: addr(2), ..server(false) };
    leader.apply_listing(Term(1), vec![moved.clone()], Instant::now());
    assert_eq!(
        leader.apply_incarnation(&told(former()), Instant::now()),
        IncarnationUpdate::Outdated
    );
    assert_eq!(shown(&mut leader), (NONE, false));
    let mut new = ListRegistry::default();
    new.apply_listing(Term(2), vec![moved.clone()], Instant::now());
    assert_eq!(new.apply_incarnation(&told(former()), Instant::now()), IncarnationUpdate::Outdated);
    new.rebuild(Term(2), Instant::now());
    assert_eq!(shown(&mut new), (NONE, false));
    let book = ServerTable::default();
    take(&book, 1, server(true), former());
    take(&book, 2, moved, NONE);
    assert!(known(&book).is_open());
}

#[test]
fn doubted_server_is_asked_once_in_a_while_and_not_for_ever() {
    let (mut doubts, start) = (RestartCheckQueue::default(), Instant::now());
    let id: BackendId = server(false).id;
    assert!(doubts.request(&id, start, 0.0) && !doubts.request(&id, start, 0.0));
    let mut asked = Vec::new();
    for step in 0..3_000 {
        let now = start + Duration::from_millis(100 * step);
        if !doubts.take_due(now).is_empty() {
            asked.push(now);
        }
    }
    assert!(asked.windows(2).all(|pair| pair[1] - pair[0] >= Duration::from_secs(1)));
    assert_eq!((asked.len(), doubts.next_due()), (8, None));
    assert!(doubts.request(&id, start + Duration::from_secs(300), 0.0));
    doubts.resolve(&id);
    assert_eq!(doubts.next_due(), None);
}

#[test]
fn server_that_tells_no_life_is_rarely_asked() {
    let (mut doubts, start) = (RestartCheckQueue::default(), Instant::now());
    let id: BackendId = server(false).id;
    doubts.request(&id, start, 0.0);
    assert_eq!(doubts.take_due(start), std::slice::from_ref(&id));
    doubts.resolve_unknown(&id, start);
    doubts.request(&id, start, 0.0);
    assert_eq!(doubts.next_due(), Some(start + Duration::from_secs(30)));
}

#[test]
fn leaders_last_loads_name_no_life_that_is_over() {
    let mut hearer = Hearer::new(former());
    let (load, service) = (Word::Load(3), "svc".parse().unwrap());
    hearer.hear(hearer.first.incarnation(), load);
    assert_eq!(hearer.book.with_recent_loads(&service).all.len(), 1);
    hearer.hear(later(), Word::List(false));
    assert!(hearer.book.with_recent_loads(&service).all.is_empty());
    hearer.hear(hearer.sees().0, load);
    hearer.book.apply_incarnation(&known(&hearer.book), Incarnation(later().0 + 5_000));
    assert!(hearer.book.with_recent_loads(&service).all.is_empty());
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
    // What a connection that breaks, or is refused, does.
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

/// A caller of a stream, who has its first events.
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

/// The rest of that caller's answer.
async fn rest((mut stream, mut had): (TcpStream, Vec<u8>)) -> Reply {
    let reading = stream.read_to_end(&mut had);
    let _ = tokio::time::timeout(PATIENCE, reading).await.expect("no end in time");
    Reply::parse(&String::from_utf8_lossy(&had))
}

/// Behind a cut nothing breaks: the word of the later life is all there is.
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

/// The source of a move has started again: it knows no run, and says in which life it is.
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

/// Two boxes hear of two lives in opposite order, by the leader's list and by the server itself.
#[test]
fn two_boxes_that_hear_of_lives_in_opposite_order_know_the_same() {
    let (earlier, later) = (former(), later());
    let (mut one, mut other) = (Hearer::new(NONE), Hearer::new(NONE));
    one.hear(earlier, Word::List(true));
    one.hear(later, Word::Report(3, false));
    other.hear(later, Word::Report(3, false));
    other.hear(earlier, Word::List(true));
    assert_eq!(one.sees(), other.sees());
    assert_eq!(one.sees(), (later, true, false, false, Some(3)));
    let service: ServiceName = "svc".parse().unwrap();
    assert_eq!(one.book.for_service(&service)[0].incarnation(), later);
}

/// Has a box take a list without any server.
fn take_none(book: &ServerTable, place: u64) {
    let version = ListVersion { term: Term(1), sequence: place };
    book.apply_index(ListIndex::new(version, Vec::new()));
}

#[test]
fn server_that_is_back_in_a_boxs_part_of_the_list_is_asked_only_if_its_life_may_be_another() {
    let life = former();
    // Nobody ever named its life; the list names the one that is known; the list names none any more.
    for (listed, named, asks) in [(NONE, false, false), (life, true, false), (NONE, true, true)] {
        let book = ServerTable::default();
        take(&book, 1, server(false), listed);
        if named {
            book.apply_incarnation(&known(&book), life);
        }
        take_none(&book, 2);
        take(&book, 3, server(false), listed);
        assert_eq!(book.has_suspects(), asks, "listed as {listed}, named {named}");
    }
}
