//! What others write down, read field by field: what cannot be read spoils nothing beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use emberturn::backend::Pool;
use emberturn::backend::engine;
use emberturn::backend::fields::Fields;
use emberturn::backend::sse::EventReader;
use emberturn::ids::{Incarnation, Term};
use emberturn::platform::client::Client;
use emberturn::platform::list::read_page;
use emberturn::platform::{document, headers, moves, report};
use emberturn::relay::list::Server;
use emberturn::relay::list_registry::ListRegistry;
use emberturn::relay::listing::{EntryError, Listing, UnreadableEntry};
use emberturn_fakes::http;
use hyper::StatusCode;
use proptest::prelude::*;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use yare::parameterized;

const LIMIT: Duration = Duration::from_secs(20);

fn entry(number: usize) -> Value {
    json!({
        "service": "svc", "address": format!("10.0.0.1:{}", 1_000 + number), "zone": "here",
        "version": "v1", "slots": 12, "state": "ready", "cold_remaining_ms": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}], "id": format!("i-{number}"),
    })
}

fn entries(count: usize) -> Vec<Vec<u8>> {
    (0..count).map(|number| entry(number).to_string().into_bytes()).collect()
}

fn page(entries: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = b"{\"instances\":[".to_vec();
    bytes.extend(entries.join(&b','));
    bytes.extend_from_slice(b"],\"next_page_token\":null}");
    bytes
}

fn read(bytes: &[u8]) -> Listing {
    read_page(bytes).expect("the frame is sound").listing
}

fn servers(numbers: &[usize]) -> Vec<Server> {
    let entries: Vec<_> = numbers.iter().map(|it| entry(*it).to_string().into_bytes()).collect();
    read(&page(&entries)).servers
}

fn ids(servers: &[Server]) -> Vec<&str> {
    servers.iter().map(|server| server.id.as_str()).collect()
}

/// An entry with one value written as these bytes.
fn with_raw(number: usize, name: &str, value: &[u8]) -> Vec<u8> {
    let mut fields = entry(number);
    fields.as_object_mut().unwrap().remove(name);
    let mut bytes = fields.to_string().into_bytes();
    bytes.pop();
    bytes.extend_from_slice(format!(",\"{name}\":").as_bytes());
    bytes.extend_from_slice(value);
    bytes.push(b'}');
    bytes
}

const FIELDS: [&str; 7] = ["id", "service", "address", "zone", "version", "slots", "state"];

/// A value of any type, also with what no reader takes.
fn value() -> impl Strategy<Value = Vec<u8>> {
    let leaf = prop_oneof![
        any::<f64>().prop_map(|it| json!(it).to_string().into_bytes()),
        any::<i64>().prop_map(|it| it.to_string().into_bytes()),
        ".{0,12}".prop_map(|it| json!(it).to_string().into_bytes()),
        // Bytes inside quotation marks that are no text.
        prop::collection::vec(any::<u8>(), 0..12).prop_map(|bytes| {
            let sound = bytes.into_iter().filter(|it| !matches!(it, b'"' | b'\\'));
            [b"\"".to_vec(), sound.collect(), b"\"".to_vec()].concat()
        }),
        prop::sample::select(vec![
            &b"null"[..],
            b"true",
            b"1e999",
            b"-0",
            b"99999999999999999999999",
            b"nul",
            b"\"\\ud800\"",
        ])
        .prop_map(<[u8]>::to_vec),
    ];
    leaf.prop_recursive(3, 8, 3, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(|it| [
                b"[".to_vec(),
                it.join(&b','),
                b"]".to_vec()
            ]
            .concat()),
            inner.prop_map(|it| [b"{\"a\":".to_vec(), it, b"}".to_vec()].concat()),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_024))]

    /// Whatever one entry holds, the others are read as they are.
    #[test]
    fn one_bad_entry_spoils_no_other(
        count in 1_usize..6,
        place in any::<prop::sample::Index>(),
        name in prop::sample::select(FIELDS.to_vec()),
        value in value(),
    ) {
        let place = place.index(count);
        let mut listed = entries(count);
        listed[place] = with_raw(place, name, &value);
        let listing = read(&page(&listed));
        prop_assert_eq!(listing.servers.len() + listing.unreadable.len(), count);
        let others: Vec<_> = (0..count).filter(|it| *it != place).collect();
        let found: Vec<_> =
            listing.servers.iter().filter(|it| others.iter().any(|place| it.addr.port() as usize == 1_000 + place)).cloned().collect();
        prop_assert!(servers(&others).iter().all(|server| found.contains(server)));
    }

    /// A page that ends too early is no page.
    #[test]
    fn page_that_was_cut_is_no_page(count in 0_usize..4, cut in any::<prop::sample::Index>()) {
        let whole = page(&entries(count));
        prop_assert!(read_page(&whole).is_some());
        prop_assert!(read_page(&whole[..cut.index(whole.len())]).is_none());
    }

    /// One value of a report that cannot be read is not told; the others are.
    #[test]
    fn one_bad_field_of_a_report_spoils_no_other(
        name in prop::sample::select(vec!["born", "state", "num_running", "kv_used", "runs"]),
        value in value(),
    ) {
        let sound = json!({"born": 17, "state": "draining", "num_running": 3, "num_waiting": 2});
        let mut fields = sound.clone();
        fields.as_object_mut().unwrap().remove(name);
        let mut bytes = fields.to_string().into_bytes();
        bytes.pop();
        bytes.extend_from_slice(format!(",\"{name}\":").as_bytes());
        bytes.extend_from_slice(&value);
        bytes.push(b'}');
        let sound = report::read(sound.to_string().as_bytes()).unwrap();
        let read = report::read(&bytes).unwrap();
        prop_assert!(name == "born" || read.incarnation == sound.incarnation);
        prop_assert!(name == "state" || read.leaving == sound.leaving);
        prop_assert!(name == "num_running" || read.load == sound.load);
    }

    /// No bytes make a reader fail in another way than by its word.
    #[test]
    fn readers_take_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = (read_page(&bytes), report::read(&bytes), moves::read(&bytes));
        let _ = (document::read(&String::from_utf8_lossy(&bytes)), engine::Load::read(&bytes));
        if let Ok(value) = hyper::header::HeaderValue::from_bytes(&bytes) {
            let names = ["request-id", "deadline-ms", "token-usage", "prompt-prefix", "last-event-id"];
            for name in names {
                let request = hyper::Request::get("/").header(name, value.clone()).body(()).unwrap();
                let _ = headers::read_call(&request.into_parts().0);
            }
        }
    }

    /// Events come out the same wherever their bytes are cut, or are refused at the same place.
    #[test]
    fn events_are_read_wherever_they_are_cut(
        pieces in prop::collection::vec(
            prop_oneof![
                prop::sample::select(vec![&b"data: a"[..], b"\n\n", b"\r\n\r\n", b"id: 1\n", b"\xff"])
                    .prop_map(<[u8]>::to_vec),
                prop::collection::vec(any::<u8>(), 0..6),
            ],
            0..12,
        ),
    ) {
        let all = |pieces: &[Vec<u8>]| {
            let (mut reader, mut events) = (EventReader::default(), Vec::new());
            for piece in pieces {
                reader.push(&Bytes::copy_from_slice(piece));
                loop {
                    match reader.next_event() {
                        Ok(Some(event)) => events.push(event),
                        Ok(None) => break,
                        Err(_) => return (events, false),
                    }
                }
            }
            (events, true)
        };
        let whole = pieces.concat();
        let single: Vec<_> = whole.iter().map(|byte| vec![*byte]).collect();
        prop_assert_eq!(all(&[whole]), all(&single));
    }
}

#[parameterized(
    number_for_text = { "id", b"7" },
    id_that_is_no_name = { "id", b"\"a b\"" },
    id_that_is_no_text = { "id", b"\"i-\xff\"" },
    control_character = { "zone", b"\"a\x01\"" },
    half_a_pair = { "zone", b"\"\\ud800\"" },
    unknown_state = { "state", b"\"resting\"" },
    state_of_another_type = { "state", b"[\"ready\"]" },
    address_without_port = { "address", b"\"10.0.0.1\"" },
    address_of_nobody = { "address", b"\"0.0.0.0:80\"" },
    port_of_nobody = { "address", b"\"10.0.0.1:0\"" },
    no_slots = { "slots", b"0" },
    fewer_than_no_slots = { "slots", b"-1" },
    slots_beyond_range = { "slots", b"4294967296" },
    slots_as_text = { "slots", b"\"12\"" },
    part_of_a_slot = { "slots", b"1.5" },
    time_left_as_text = { "leaves_ms", b"\"soon\"" },
    time_left_beyond_range = { "leaves_ms", b"1e999" },
    spot_as_number = { "spot", b"1" },
    cold_as_text = { "cold_remaining_ms", b"\"long\"" },
    stage_that_is_no_text = { "stage", b"\"\xff\"" },
    models_as_text = { "models", b"\"m\"" },
    null = { "version", b"null" },
)]
fn entry_that_names_nobody_is_left_out(name: &str, value: &[u8]) {
    let mut listed = entries(3);
    listed[1] = with_raw(1, name, value);
    let listing = read(&page(&listed));
    assert_eq!(ids(&listing.servers), ["i-0", "i-2"]);
    let unread = &listing.unreadable[0];
    let EntryError::InvalidField(field) = unread.error else { panic!("{unread:?}") };
    assert_eq!(field, name);
    let id = unread.id.as_ref().map(|id| id.as_str());
    assert_eq!(id, (name != "id").then_some("i-1"));
}

#[parameterized(
    service = { "service" },
    address = { "address" },
    data_centre = { "zone" },
    release = { "version" },
    slots = { "slots" },
    state = { "state" },
    id = { "id" },
)]
fn entry_without_a_field_is_left_out(name: &str) {
    let mut listed = entries(3);
    let mut short = entry(1);
    short.as_object_mut().unwrap().remove(name);
    listed[1] = short.to_string().into_bytes();
    assert_eq!(ids(&read(&page(&listed)).servers), ["i-0", "i-2"]);
}

#[parameterized(
    number = { b"7" },
    nothing = { b"null" },
    text = { b"\"i-1\"" },
    list = { b"[{\"id\":\"i-1\"}]" },
    empty = { b"{}" },
    no_value = { b"{\"id\"}" },
    no_json = { b"?!" },
)]
fn entry_that_is_none_is_left_out(bytes: &[u8]) {
    let mut listed = entries(3);
    listed[1] = bytes.to_vec();
    let listing = read(&page(&listed));
    assert_eq!((ids(&listing.servers), listing.unreadable.len()), (vec!["i-0", "i-2"], 1));
}

#[test]
fn field_that_is_there_twice_cannot_be_read() {
    let fields = Fields::of(b"{\"a\":1,\"a\":1,\"b\":2}").unwrap();
    assert_eq!((fields.get::<u32>("a"), fields.get::<u32>("b")), (None, Some(2)));
}

#[test]
fn lists_inside_each_other_without_end_are_no_page() {
    let deep = [vec![b'['; 100_000], vec![b']'; 100_000]].concat();
    assert!(read_page(&page(&[deep])).is_none());
}

#[test]
fn handle_of_a_move_is_read_beside_a_life_that_cannot_be() {
    let answer = moves::read(b"{\"handle\":7,\"made\":\"\xff\",\"born\":\"late\"}");
    assert_eq!((answer.handle.as_deref(), answer.incarnation), (Some("7"), Incarnation(0)));
}

#[test]
fn load_of_an_engine_is_read_beside_fields_that_cannot_be() {
    let load = engine::Load::read(b"{\"running\":1,\"waiting\":2,\"age_ms\":-1,\"leaving_ms\":[]}");
    let load = load.unwrap();
    assert_eq!((load.running, load.waiting, load.age_ms, load.leaving_ms), (1, 2, 0, None));
}

/// The ids that a leader lists.
fn listed(book: &ListRegistry) -> Vec<&str> {
    let mut ids = ids(book.servers());
    ids.sort_unstable();
    ids
}

fn unread(id: Option<&str>, addr: Option<SocketAddr>) -> Listing {
    let id = id.map(|id| id.parse().unwrap());
    let unread = vec![UnreadableEntry { id, addr, error: EntryError::InvalidField("state") }];
    Listing { servers: servers(&[0]), unreadable: unread }
}

#[parameterized(
    by_id = { Some("i-1"), None, true },
    by_address = { None, Some(([10, 0, 0, 1], 1_001).into()), true },
    of_another_id = { Some("i-7"), Some(([10, 0, 0, 1], 1_001).into()), false },
    of_nobody = { None, None, false },
)]
fn server_whose_entry_cannot_be_read_any_more_stays(
    id: Option<&str>,
    addr: Option<SocketAddr>,
    stays: bool,
) {
    let mut book = ListRegistry::default();
    book.apply_listing(Term(1), servers(&[0, 1]), Instant::now());
    for _ in 0..3 {
        book.apply_listing(Term(1), unread(id, addr), Instant::now());
        let expected: &[&str] = if stays { &["i-0", "i-1"] } else { &["i-0"] };
        assert_eq!(listed(&book), expected);
    }
    book.apply_listing(Term(1), servers(&[0]), Instant::now());
    assert_eq!(listed(&book), ["i-0"], "it is gone from the list");
}

#[test]
fn doubled_id_is_the_server_that_was_known() {
    let (known, mut other) = (servers(&[0, 1]), servers(&[1]));
    other[0].addr = ([10, 0, 0, 9], 9).into();
    let both = [other.clone(), known.clone()].concat();
    let mut book = ListRegistry::default();
    book.apply_listing(Term(1), both.clone(), Instant::now());
    assert_eq!(listed(&book), ["i-0"], "nothing tells which one is meant");
    let mut book = ListRegistry::default();
    book.apply_listing(Term(1), known.clone(), Instant::now());
    book.apply_listing(Term(1), both, Instant::now());
    assert_eq!(book.servers().iter().map(|it| it.addr).collect::<Vec<_>>().len(), 2);
    assert!(book.servers().contains(&known[1]));
}

#[test]
fn entry_that_is_there_twice_is_one_and_leaving_if_one_says_so() {
    let mut both = servers(&[0, 1, 1]);
    let mut book = ListRegistry::default();
    book.apply_listing(Term(1), both.clone(), Instant::now());
    assert_eq!(listed(&book), ["i-0", "i-1"]);
    both[2].leaving = true;
    book.apply_listing(Term(1), both, Instant::now());
    assert!(book.servers().iter().any(|it| it.leaving && it.id.as_str() == "i-1"));
}

/// A platform whose pages are these in turn, and the last of them from then on.
async fn platform(pages: Vec<Vec<u8>>) -> (Client, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let asked: Arc<AtomicUsize> = Arc::default();
    let counted = asked.clone();
    tokio::spawn(http::serve(listener, move |_| {
        let place = counted.fetch_add(1, Ordering::SeqCst).min(pages.len() - 1);
        let body = Bytes::from(pages[place].clone());
        async move { http::bytes(StatusCode::OK, body) }
    }));
    (Client::new(Pool::default(), addr), asked)
}

#[tokio::test]
async fn page_whose_frame_is_broken_is_asked_for_again() {
    let (client, asked) = platform(vec![b"{\"instances\":[".to_vec(), page(&entries(2))]).await;
    let listing = client.list(LIMIT).await.unwrap();
    assert_eq!((ids(&listing.servers), asked.load(Ordering::SeqCst)), (vec!["i-0", "i-1"], 2));
}

#[tokio::test]
async fn page_that_stays_broken_ends_the_reading() {
    let (client, asked) = platform(vec![b"{\"instances\":7}".to_vec()]).await;
    assert!(client.list(LIMIT).await.is_err());
    assert_eq!(asked.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn bytes_that_are_no_text_void_one_entry() {
    let mut listed = entries(2);
    listed.push(with_raw(2, "zone", b"\"\xc3\x28\""));
    let (client, _) = platform(vec![page(&listed)]).await;
    let listing = client.list(LIMIT).await.unwrap();
    assert_eq!((ids(&listing.servers), listing.unreadable.len()), (vec!["i-0", "i-1"], 1));
}
