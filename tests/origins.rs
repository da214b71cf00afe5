//! Which release began a stream, as a box and the leader remember it, and which releases get new requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use emberturn::decide::origin_shares::{OriginReceipt, OriginShares};
use emberturn::decide::origins::{
    MAX_REPORTED, OriginReport, ReturnTime, StreamKey, StreamOrigin, StreamOrigins,
    UNKNOWN_RETURN_TIME,
};
use emberturn::decide::releases::{ReleaseTable, ReleaseUpdate, TrialGrant};
use emberturn::decide::serving::{ReleaseListing, ReleaseView, ServiceView};
use emberturn::ids::{BoxId, Incarnation, Release, ServiceName};
use emberturn::state::rollout::{Phase, RolloutOrder, RolloutState, RolloutStep, ServingReleases};
use emberturn::units::Millis;

const LIFETIME: Duration = Duration::from_secs(20);

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

fn release(name: &str) -> Release {
    name.parse().unwrap()
}

fn origin(name: &str) -> StreamOrigin {
    StreamOrigin { service: service(), release: release(name) }
}

fn key(request: &str) -> StreamKey {
    StreamKey::new(Some(&"team-a".parse().unwrap()), request)
}

fn all(_: &ServiceName) -> bool {
    true
}

#[test]
fn streams_of_teams_that_use_the_same_id_are_not_mistaken_for_each_other() {
    let other = StreamKey::new(Some(&"team-b".parse().unwrap()), "r-1");
    assert_ne!(key("r-1"), other);
    assert_ne!(key("r-1"), StreamKey::new(None, "r-1"));
    assert_eq!(key("r-1").to_string().len(), 32);
}

#[test]
fn origin_is_known_until_its_caller_comes_back_no_more() {
    let (mut origins, now) = (StreamOrigins::new(8), Instant::now());
    origins.record(key("r-1"), origin("v1"), now + LIFETIME, now);
    assert_eq!(origins.find(key("r-1"), now + LIFETIME / 2), Some(&origin("v1")));
    assert_eq!(origins.find(key("r-1"), now + LIFETIME), None);
    assert_eq!(origins.find(key("r-2"), now), None);
}

#[test]
fn id_that_was_used_for_streams_of_two_releases_names_neither() {
    let (mut origins, now) = (StreamOrigins::new(8), Instant::now());
    for name in ["v1", "v2", "v1"] {
        origins.record(key("r-1"), origin(name), now + LIFETIME, now);
    }
    assert_eq!(origins.find(key("r-1"), now), None);
    assert_eq!(origins.unreported(all, now), []);
}

#[test]
fn oldest_origins_give_way_when_there_are_too_many() {
    let (mut origins, now) = (StreamOrigins::new(2), Instant::now());
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        let until = now + LIFETIME + Duration::from_millis(number as u64);
        origins.record(key(name), origin("v1"), until, now);
    }
    let known = ["a", "b", "c"].map(|name| origins.find(key(name), now).is_some());
    assert_eq!(known, [false, true, true]);
}

#[test]
fn origin_is_reported_once_and_again_to_another_leader() {
    let (mut origins, now) = (StreamOrigins::new(8), Instant::now());
    origins.record(key("r-1"), origin("v1"), now + LIFETIME, now);
    assert_eq!(origins.unreported(|_| false, now), []);
    let reports = origins.unreported(all, now + LIFETIME / 4);
    let left = Millis(15_000);
    assert_eq!(reports, [OriginReport { key: key("r-1"), origin: origin("v1"), left }]);
    // Until the leader has it, the report is made again.
    assert_eq!(origins.unreported(all, now).len(), 1);
    origins.mark_reported(&reports);
    assert_eq!(origins.unreported(all, now), []);
    origins.forget_reports();
    assert_eq!(origins.unreported(all, now).len(), 1);
}

#[test]
fn reports_are_bounded() {
    let (mut origins, now) = (StreamOrigins::new(4 * MAX_REPORTED), Instant::now());
    for number in 0..=MAX_REPORTED {
        origins.record(key(&number.to_string()), origin("v1"), now + LIFETIME, now);
    }
    let first = origins.unreported(all, now);
    assert_eq!(first.len(), MAX_REPORTED);
    origins.mark_reported(&first);
    assert_eq!(origins.unreported(all, now).len(), 1);
}

fn update(beside: &[&str], is_sole: bool) -> BTreeMap<ServiceName, ReleaseUpdate> {
    let beside = beside.iter().copied().map(release).collect();
    let update = ReleaseUpdate {
        in_force: Some(release("v1")),
        beside,
        is_sole,
        ..ReleaseUpdate::default()
    };
    [(service(), update)].into()
}

#[test]
fn streams_are_reported_of_services_that_the_leader_does_not_call_sole() {
    let mut table = ReleaseTable::default();
    let shared = |table: &ReleaseTable| table.shared_services().cloned().collect::<Vec<_>>();
    assert_eq!(shared(&table), []);
    for _ in 0..2 {
        table.apply_updates(Some(update(&[], true)));
        assert_eq!(shared(&table), []);
        table.apply_updates(Some(update(&[], false)));
        assert_eq!(shared(&table), [service()]);
        table.apply_updates(None);
        assert_eq!(shared(&table), [service()]);
    }
}

#[test]
fn new_requests_go_to_all_releases_that_serve_but_the_one_on_trial() {
    let (mut table, now) = (ReleaseTable::default(), Instant::now());
    table.apply_updates(Some(update(&["v2", "v3"], false)));
    let takes = |table: &mut ReleaseTable| {
        let choice = table.choose(&service(), true, now);
        ["v1", "v2", "v3", "v4"].map(|name| choice.takes(&release(name)))
    };
    assert_eq!(takes(&mut table), [true, true, true, false]);
    let mut updates = update(&["v2", "v3"], false);
    let trial = TrialGrant {
        ordered: 1,
        release: release("v3"),
        all_traffic: false,
        permits: 0,
        report_often: false,
    };
    updates.get_mut(&service()).unwrap().trial = Some(trial);
    table.apply_updates(Some(updates));
    assert_eq!(takes(&mut table), [true, true, false, false]);
}

#[test]
fn stream_goes_on_at_its_own_release_only() {
    let (mut table, now) = (ReleaseTable::default(), Instant::now());
    table.apply_updates(Some(update(&["v2"], false)));
    let choice = table.choose_for_begun(&service(), &release("v2"), now).unwrap();
    assert_eq!(["v1", "v2"].map(|name| choice.takes(&release(name))), [false, true]);
}

fn set(names: &[&str]) -> BTreeSet<Release> {
    names.iter().copied().map(release).collect()
}

fn serving(in_force: &str, beside: &[&str]) -> BTreeMap<ServiceName, ServingReleases> {
    let it = ServingReleases {
        in_force: release(in_force),
        beside: set(beside),
        replaced: BTreeSet::new(),
    };
    [(service(), it)].into()
}

fn order(state: &mut RolloutState, name: &str, at: u64) {
    let order = RolloutOrder {
        service: service(),
        release: release(name),
        time: Millis(10_000),
        repeats: Millis(0),
    };
    state.order(at, &order);
}

fn step(state: &mut RolloutState, phase: Phase, ordered: u64) {
    state.step(&RolloutStep { service: service(), ordered, phase, exposed: 0 });
}

fn running() -> RolloutState {
    let mut state = RolloutState::default();
    state.note_running(&[(service(), release("v1"))].into());
    state.note_serving(&serving("v1", &["v2", "v3"]));
    state
}

fn admitted(state: &RolloutState) -> BTreeSet<Release> {
    state.admitted(&service()).cloned().collect()
}

#[test]
fn releases_beside_the_one_in_force_are_stored_unless_a_rollout_runs() {
    let mut state = running();
    assert_eq!(admitted(&state), set(&["v1", "v2", "v3"]));
    order(&mut state, "v4", 1);
    state.note_serving(&serving("v3", &[]));
    assert_eq!(admitted(&state), set(&["v1", "v2", "v3"]));
    let mut unknown = RolloutState::default();
    unknown.note_serving(&serving("v1", &["v2"]));
    assert_eq!(unknown, RolloutState::default());
}

#[test]
fn completed_rollout_replaces_all_others() {
    let mut state = running();
    order(&mut state, "v2", 1);
    step(&mut state, Phase::Shift, 1);
    step(&mut state, Phase::Completed, 1);
    assert_eq!(admitted(&state), set(&["v2"]));
    assert_eq!(state.replaced[&service()], set(&["v1", "v3"]));
    // An order of the one in force has nothing to do but that.
    state.note_serving(&serving("v2", &["v5"]));
    order(&mut state, "v2", 2);
    assert_eq!(admitted(&state), set(&["v2"]));
}

#[test]
fn release_that_is_rolled_back_serves_no_more_also_if_it_did_before() {
    let mut state = running();
    order(&mut state, "v2", 1);
    step(&mut state, Phase::RolledBack, 1);
    assert_eq!(admitted(&state), set(&["v1", "v3"]));
    assert!(state.is_rolled_back(&service(), &release("v2")));
    assert_eq!(state.replaced[&service()], set(&["v2"]));
    // Ordered again, it is tried again.
    order(&mut state, "v2", 2);
    assert!(!state.replaced[&service()].contains(&release("v2")));
}

/// A group of the version before stores neither field.
#[test]
fn state_of_the_version_before_is_read() {
    let text = r#"{"in_force":{"svc":"v1"},"rollouts":{}}"#;
    let state: RolloutState = serde_json::from_str(text).unwrap();
    assert_eq!(admitted(&state), set(&["v1"]));
}

/// A service of which `v1` is in force, with these servers listed, of which none leaves.
fn view(listed: &[(&str, usize)], may_share: bool) -> ServiceView {
    let known = |(name, open): &(&str, usize)| {
        let view = ReleaseView { listed: *open, open: *open, ..ReleaseView::default() };
        (release(name), view)
    };
    let stored = serving("v1", &[]).remove(&service()).unwrap();
    ServiceView { stored, releases: listed.iter().map(known).collect(), may_share }
}

fn next(view: &ServiceView) -> Option<(Release, BTreeSet<Release>, BTreeSet<Release>)> {
    view.next_serving().map(|it| (it.in_force, it.beside, it.replaced))
}

#[test]
fn listed_release_gets_new_requests_once_all_boxes_know_of_several() {
    assert_eq!(next(&view(&[("v1", 4)], true)), None);
    assert_eq!(next(&view(&[("v1", 4), ("v2", 1)], false)), None);
    let expected = (release("v1"), set(&["v2"]), set(&[]));
    assert_eq!(next(&view(&[("v1", 4), ("v2", 1)], true)), Some(expected));
}

#[test]
fn release_is_admitted_at_once_where_nothing_else_serves() {
    let mut view = view(&[("v1", 2), ("v2", 1)], false);
    view.releases.get_mut(&release("v1")).unwrap().open = 0;
    assert_eq!(next(&view), Some((release("v1"), set(&["v2"]), set(&[]))));
    // The one in force is not listed any more, but its streams may still be taken up.
    view.releases.insert(release("v1"), ReleaseView::default());
    assert_eq!(next(&view), Some((release("v2"), set(&["v1"]), set(&[]))));
    view.releases.insert(release("v1"), ReleaseView { is_over: true, ..ReleaseView::default() });
    assert_eq!(next(&view), Some((release("v2"), set(&[]), set(&[]))));
}

#[test]
fn release_that_was_replaced_is_admitted_only_where_nothing_else_serves() {
    let mut view = view(&[("v1", 2), ("v0", 2)], true);
    view.stored.replaced = set(&["v0"]);
    assert_eq!(next(&view), None);
    view.releases.insert(release("v1"), ReleaseView::default());
    assert_eq!(next(&view), Some((release("v0"), set(&["v1"]), set(&[]))));
    // Its servers have stopped, as was to be expected.
    view.releases =
        [(release("v1"), ReleaseView { listed: 2, open: 2, ..ReleaseView::default() })].into();
    view.releases.insert(release("v0"), ReleaseView { is_over: true, ..ReleaseView::default() });
    assert_eq!(next(&view), Some((release("v1"), set(&[]), set(&[]))));
}

#[test]
fn release_that_was_rolled_back_is_never_admitted() {
    let mut view = view(&[("v1", 0), ("v2", 3)], true);
    view.stored.replaced = set(&["v2"]);
    view.releases.get_mut(&release("v2")).unwrap().is_bad = true;
    assert_eq!(next(&view), None);
}

/// Guards against a stream that goes on at another release: a box that had not been heard since the release left the list
/// still began streams there when it counted as over.
#[test]
fn release_is_not_over_while_a_box_may_have_it_in_its_list() {
    let began = Instant::now();
    let at = |seconds| began + Duration::from_secs(seconds);
    let return_time = Duration::from_secs(4);
    let mut listing = ReleaseListing::new(at(0));
    let mut update = |is_listed, heard: [u64; 2], now| {
        listing.update(is_listed, heard.into_iter().map(at), at(now));
        listing.is_over(return_time, at(now))
    };
    assert!(!update(true, [0, 0], 1));
    assert!(!update(false, [1, 1], 2));
    for now in 3..20 {
        assert!(!update(false, [now, 2], now));
    }
    // The box takes its new list, and callers come back until then.
    for now in 20..28 {
        assert!(!update(false, [now, 20], now), "{now}");
    }
    assert!(update(false, [28, 28], 28));
    // Listed again, it is used again.
    assert!(!update(true, [29, 29], 29));
    assert!(!update(false, [30, 30], 37));
}

/// Guards against a stream that goes on at another release: the routes' timeouts were lowered, and the release that began
/// it counted as over while its callers still came back.
#[test]
fn return_time_covers_streams_of_before_timeouts_were_lowered() {
    let began = Instant::now();
    let at = |seconds| began + Duration::from_secs(seconds);
    let mut time = ReturnTime::new(true, began);
    time.update(Duration::from_secs(12), at(0));
    time.update(Duration::from_secs(2), at(10));
    time.update(Duration::from_secs(2), at(11));
    time.update(Duration::from_secs(1), at(12));
    assert_eq!(time.get(at(33)), Duration::from_secs(24));
    assert_eq!(time.get(at(34)), Duration::from_secs(2));
    time.update(Duration::from_secs(5), at(40));
    assert_eq!(time.get(at(40)), Duration::from_secs(10));
}

/// A new leader does not know which timeouts were published before it.
#[test]
fn return_time_of_a_new_leader_covers_timeouts_of_before() {
    let began = Instant::now();
    let mut time = ReturnTime::new(false, began);
    time.update(Duration::from_secs(1), began);
    assert_eq!(time.get(began), UNKNOWN_RETURN_TIME);
    assert_eq!(time.get(began + UNKNOWN_RETURN_TIME), Duration::from_secs(2));
}

fn report(request: &str) -> OriginReport {
    OriginReport { key: key(request), origin: origin("v1"), left: Millis(20_000) }
}

fn receipt(process: u64) -> OriginReceipt {
    OriginReceipt { process: Incarnation(process) }
}

/// Guards against a replica that becomes the leader and knows no stream: one that is new, or has restarted, gets all.
#[test]
fn replica_that_is_new_or_has_restarted_is_told_of_all_streams() {
    let (mut shares, replica) = (OriginShares::default(), "r-2".parse::<BoxId>().unwrap());
    let known = || vec![report("a"), report("b")];
    shares.record(&report("a"));
    assert_eq!(shares.next(&replica, known), known());
    assert!(shares.acknowledge(&replica, receipt(1), 2, known));
    assert_eq!(shares.next(&replica, known), []);
    shares.record(&report("c"));
    assert_eq!(shares.next(&replica, known), [report("c")]);
    // Its answer is lost.
    assert_eq!(shares.next(&replica, known), [report("c")]);
    assert!(!shares.acknowledge(&replica, receipt(1), 1, known));
    let all = || vec![report("a"), report("b"), report("c")];
    assert!(!shares.acknowledge(&replica, receipt(2), 0, all));
    assert_eq!(shares.next(&replica, Vec::new), all());
    assert!(shares.acknowledge(&replica, receipt(2), 3, all));
    shares.retain(|_| false);
    assert_eq!(shares.next(&replica, all), all());
}

#[test]
fn what_waits_for_a_replica_is_bounded() {
    let (mut shares, replica) = (OriginShares::default(), "r-2".parse::<BoxId>().unwrap());
    shares.next(&replica, Vec::new);
    for number in 0..40_000 {
        shares.record(&report(&number.to_string()));
    }
    let mut sent = 0;
    loop {
        let next = shares.next(&replica, Vec::new);
        if next.is_empty() {
            break;
        }
        assert!(next.len() <= MAX_REPORTED);
        sent += next.len();
        shares.acknowledge(&replica, receipt(1), next.len(), Vec::new);
    }
    assert_eq!(sent, 1 << 14);
}

#[test]
fn origin_that_is_known_is_not_new() {
    let (mut origins, now) = (StreamOrigins::new(8), Instant::now());
    assert!(origins.record(key("a"), origin("v1"), now + LIFETIME, now));
    assert!(!origins.record(key("a"), origin("v1"), now + LIFETIME, now));
    assert_eq!(origins.reports(now).len(), 1);
    assert!(origins.record(key("a"), origin("v2"), now + LIFETIME, now));
    assert_eq!(origins.reports(now), []);
}
