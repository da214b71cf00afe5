//! Parsers of external input read field by field: an invalid value does not affect its neighbours.

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
    read_page(bytes).expect("the page itself is valid").listing
}

fn servers(numbers: &[usize]) -> Vec<Server> {
    let entries: Vec<_> = numbers.iter().map(|it| entry(*it).to_string().into_bytes()).collect();
    read(&page(&entries)).servers
}

fn ids(servers: &[Server]) -> Vec<&str> {
    servers.iter().map(|server| server.id.as_str()).collect()
}

/// An entry in which one field has `value` as its raw bytes.
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

/// A JSON value of any type, including invalid ones.
fn value() -> impl Strategy<Value = Vec<u8>> {
    let leaf = prop_oneof![
        any::<f64>().prop_map(|it| json!(it).to_string().into_bytes()),
        any::<i64>().prop_map(|it| it.to_string().into_bytes()),
        ".{0,12}".prop_map(|it| json!(it).to_string().into_bytes()),
        // Quoted bytes that need not be UTF-8.
        prop::collection::vec(any::<u8>(), 0..12).prop_map(|bytes| {
            let unquoted = bytes.into_iter().filter(|it| !matches!(it, b'"' | b'\\'));
            [b"\"".to_vec(), unquoted.collect(), b"\"".to_vec()].concat()
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

    /// Whatever one entry contains, the others are read unchanged.
    #[test]
    fn bad_entry_does_not_affect_others(
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

    /// A truncated page is rejected as a whole.
    #[test]
    fn truncated_page_is_rejected(count in 0_usize..4, cut in any::<prop::sample::Index>()) {
        let whole = page(&entries(count));
        prop_assert!(read_page(&whole).is_some());
        prop_assert!(read_page(&whole[..cut.index(whole.len())]).is_none());
    }

    /// An invalid value in a report is omitted; the other values are read.
    #[test]
    fn bad_report_field_does_not_affect_others(
        name in prop::sample::select(vec!["born", "state", "num_running", "kv_used", "runs"]),
        value in value(),
    ) {
        let valid = json!({"born": 17, "state": "draining", "num_running": 3, "num_waiting": 2});
        let mut fields = valid.clone();
        fields.as_object_mut().unwrap().remove(name);
        let mut bytes = fields.to_string().into_bytes();
        bytes.pop();
        bytes.extend_from_slice(format!(",\"{name}\":").as_bytes());
        bytes.extend_from_slice(&value);
        bytes.push(b'}');
        let valid = report::read(valid.to_string().as_bytes()).unwrap();
        let read = report::read(&bytes).unwrap();
        prop_assert!(name == "born" || read.incarnation == valid.incarnation);
        prop_assert!(name == "state" || read.leaving == valid.leaving);
        prop_assert!(name == "num_running" || read.load == valid.load);
    }

    /// No input makes a parser panic.
    #[test]
    fn readers_accept_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
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

    /// Events are the same, or rejected at the same place, wherever the input is split into chunks.
    #[test]
    fn events_are_parsed_independently_of_chunk_boundaries(
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
    id_as_number = { "id", b"7" },
    id_with_invalid_character = { "id", b"\"a b\"" },
    id_not_utf8 = { "id", b"\"i-\xff\"" },
    control_character = { "zone", b"\"a\x01\"" },
    unpaired_surrogate = { "zone", b"\"\\ud800\"" },
    unknown_state = { "state", b"\"resting\"" },
    state_as_list = { "state", b"[\"ready\"]" },
    address_without_port = { "address", b"\"10.0.0.1\"" },
    unspecified_address = { "address", b"\"0.0.0.0:80\"" },
    port_zero = { "address", b"\"10.0.0.1:0\"" },
    zero_slots = { "slots", b"0" },
    negative_slots = { "slots", b"-1" },
    slots_out_of_range = { "slots", b"4294967296" },
    slots_as_text = { "slots", b"\"12\"" },
    fractional_slots = { "slots", b"1.5" },
    time_left_as_text = { "leaves_ms", b"\"soon\"" },
    time_left_out_of_range = { "leaves_ms", b"1e999" },
    spot_as_number = { "spot", b"1" },
    cold_as_text = { "cold_remaining_ms", b"\"long\"" },
    stage_not_utf8 = { "stage", b"\"\xff\"" },
    models_as_text = { "models", b"\"m\"" },
    null = { "version", b"null" },
)]
fn entry_with_an_invalid_field_is_skipped(name: &str, value: &[u8]) {
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
fn entry_without_a_required_field_is_skipped(name: &str) {
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
    invalid_json = { b"?!" },
)]
fn malformed_entry_is_skipped(bytes: &[u8]) {
    let mut listed = entries(3);
    listed[1] = bytes.to_vec();
    let listing = read(&page(&listed));
    assert_eq!((ids(&listing.servers), listing.unreadable.len()), (vec!["i-0", "i-2"], 1));
}

#[test]
fn duplicate_field_is_unreadable() {
    let fields = Fields::of(b"{\"a\":1,\"a\":1,\"b\":2}").unwrap();
    assert_eq!((fields.get::<u32>("a"), fields.get::<u32>("b")), (None, Some(2)));
}

#[test]
fn deeply_nested_lists_are_rejected() {
    let deep = [vec![b'['; 100_000], vec![b']'; 100_000]].concat();
    assert!(read_page(&page(&[deep])).is_none());
}

#[test]
fn move_handle_is_read_despite_an_invalid_incarnation() {
    let answer = moves::read(b"{\"handle\":7,\"made\":\"\xff\",\"born\":\"late\"}");
    assert_eq!((answer.handle.as_deref(), answer.incarnation), (Some("7"), Incarnation(0)));
}

#[test]
fn engine_load_is_read_despite_invalid_fields() {
    let load = engine::Load::read(b"{\"running\":1,\"waiting\":2,\"age_ms\":-1,\"leaving_ms\":[]}");
    let load = load.unwrap();
    assert_eq!((load.running, load.waiting, load.age_ms, load.leaving_ms), (1, 2, 0, None));
}

/// The ids of the servers that a leader lists, sorted.
fn listed(registry: &ListRegistry) -> Vec<&str> {
    let mut ids = ids(registry.servers());
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
    with_another_id = { Some("i-7"), Some(([10, 0, 0, 1], 1_001).into()), false },
    without_id_or_address = { None, None, false },
)]
fn server_with_an_unreadable_entry_stays_listed(
    id: Option<&str>,
    addr: Option<SocketAddr>,
    stays: bool,
) {
    let mut registry = ListRegistry::default();
    registry.apply_listing(Term(1), servers(&[0, 1]), Instant::now());
    for _ in 0..3 {
        registry.apply_listing(Term(1), unread(id, addr), Instant::now());
        let expected: &[&str] = if stays { &["i-0", "i-1"] } else { &["i-0"] };
        assert_eq!(listed(&registry), expected);
    }
    registry.apply_listing(Term(1), servers(&[0]), Instant::now());
    assert_eq!(listed(&registry), ["i-0"], "the server is no longer in the list");
}

#[test]
fn duplicate_id_keeps_the_known_server() {
    let (known, mut other) = (servers(&[0, 1]), servers(&[1]));
    other[0].addr = ([10, 0, 0, 9], 9).into();
    let both = [other.clone(), known.clone()].concat();
    let mut registry = ListRegistry::default();
    registry.apply_listing(Term(1), both.clone(), Instant::now());
    assert_eq!(listed(&registry), ["i-0"], "it is unknown which of the two is meant");
    let mut registry = ListRegistry::default();
    registry.apply_listing(Term(1), known.clone(), Instant::now());
    registry.apply_listing(Term(1), both, Instant::now());
    assert_eq!(registry.servers().iter().map(|it| it.addr).collect::<Vec<_>>().len(), 2);
    assert!(registry.servers().contains(&known[1]));
}

#[test]
fn repeated_entry_is_listed_once_and_leaving_if_either_is() {
    let mut both = servers(&[0, 1, 1]);
    let mut registry = ListRegistry::default();
    registry.apply_listing(Term(1), both.clone(), Instant::now());
    assert_eq!(listed(&registry), ["i-0", "i-1"]);
    both[2].leaving = true;
    registry.apply_listing(Term(1), both, Instant::now());
    assert!(registry.servers().iter().any(|it| it.leaving && it.id.as_str() == "i-1"));
}

/// A platform that serves these pages in turn, and the last one from then on.
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
async fn broken_page_is_requested_again() {
    let (client, asked) = platform(vec![b"{\"instances\":[".to_vec(), page(&entries(2))]).await;
    let listing = client.list(LIMIT).await.unwrap();
    assert_eq!((ids(&listing.servers), asked.load(Ordering::SeqCst)), (vec!["i-0", "i-1"], 2));
}

#[tokio::test]
async fn repeatedly_broken_page_fails_the_listing() {
    let (client, asked) = platform(vec![b"{\"instances\":7}".to_vec()]).await;
    assert!(client.list(LIMIT).await.is_err());
    assert_eq!(asked.load(Ordering::SeqCst), 2);
}

/// Guards against a leader that keeps pages of a list as long as there is a next one.
#[tokio::test]
async fn list_whose_pages_have_no_end_is_given_up_at_a_bound() {
    const LIST_BYTES: usize = 32 << 20;
    let text = String::from_utf8(page(&entries(5_000))).unwrap();
    let page = text.replace("\"next_page_token\":null", "\"next_page_token\":\"again\"");
    let most = LIST_BYTES / page.len() + 1;
    let (client, asked) = platform(vec![page.into_bytes()]).await;
    assert!(client.list(LIMIT).await.is_err());
    assert!(asked.load(Ordering::SeqCst) <= most, "{asked:?} of {most}");
}

#[tokio::test]
async fn invalid_utf8_skips_only_its_entry() {
    let mut listed = entries(2);
    listed.push(with_raw(2, "zone", b"\"\xc3\x28\""));
    let (client, _) = platform(vec![page(&listed)]).await;
    let listing = client.list(LIMIT).await.unwrap();
    assert_eq!((ids(&listing.servers), listing.unreadable.len()), (vec!["i-0", "i-1"], 1));
}
